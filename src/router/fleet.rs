//! What an entry knows of each upstream.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use slotmap::SlotMap;
use slotmap::new_key_type;
use strum::Display;

use crate::policy::ejection::EjectionLimits;
use crate::policy::ejection::Health;
use crate::router::engine_time::PrefillWaitEstimate;

new_key_type! {
    /// Names one incarnation of an upstream within one entry.
    pub struct UpstreamKey;
}

/// What an upstream does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PoolRole {
    /// A model engine that prefills.
    Prefill,
    /// A model engine that decodes.
    Decode,
    /// A plain service.
    Service,
}

/// An upstream as the instance list names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedUpstream {
    /// Id of the instance; a restart may keep it.
    pub id: CompactString,
    /// Service that it belongs to.
    pub service: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: CompactString,
    /// Pool.
    pub role: PoolRole,
    /// It takes no new work.
    pub leaving: bool,
    /// When it started, in milliseconds since the epoch; 0 if not told.
    pub started_ms: u64,
}

/// What an entry knows of one upstream.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Its newest entry in the list.
    pub listed: ListedUpstream,
    /// Requests of this entry that it works on.
    pub open_requests: u32,
    /// Prompt tokens and expected output of those requests.
    pub open_tokens: u64,
    /// Prompt tokens that this entry waits for here.
    pub prefilling_tokens: u64,
    /// Wait before a prefill, as seen last.
    pub prefill_wait: PrefillWaitEstimate,
    /// Failures in a row, and ejection.
    pub health: Health,
    /// What it had no room for a moment ago.
    pub capacity_backoff: CapacityBackoff,
}

/// A size that an upstream has no room for, and until when that is believed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CapacityBackoff {
    tokens: u32,
    until: Duration,
}

impl CapacityBackoff {
    /// The upstream had no room for so many tokens.
    pub fn record_rejection(&mut self, now: Duration, tokens: u32, pause: Duration) {
        self.tokens = if now < self.until { self.tokens.min(tokens) } else { tokens };
        self.until = now + pause;
    }

    /// True if there may be room for so many tokens.
    pub fn allows(&self, now: Duration, tokens: u32) -> bool {
        now >= self.until || tokens < self.tokens
    }

    /// Until when the refusal is believed.
    pub fn ends_at(&self) -> Duration {
        self.until
    }
}

/// When an upstream that fails is passed over, and for how long.
const EJECTION_LIMITS: EjectionLimits = EjectionLimits {
    consecutive_failures: 2,
    base_ejection: Duration::from_millis(1_500),
    max_ejected_percent: 60,
};

/// All upstreams in the list, by service.
#[derive(Debug, Default)]
pub struct Fleet {
    upstreams: SlotMap<UpstreamKey, Upstream>,
    by_id: HashMap<CompactString, UpstreamKey>,
    by_service: HashMap<CompactString, Vec<UpstreamKey>>,
}

impl Fleet {
    /// Adds an upstream or brings it up to date. One that started again is new.
    pub fn upsert(&mut self, listed: ListedUpstream) -> UpstreamKey {
        if let Some(&key) = self.by_id.get(&listed.id) {
            let known = &mut self.upstreams[key];
            let same = known.listed.address == listed.address
                && known.listed.service == listed.service
                && known.listed.started_ms == listed.started_ms;
            if same {
                known.listed = listed;
                return key;
            }
            self.remove(&listed.id);
        }
        let (id, service) = (listed.id.clone(), listed.service.clone());
        let key = self.upstreams.insert(Upstream {
            listed,
            open_requests: 0,
            open_tokens: 0,
            prefilling_tokens: 0,
            prefill_wait: PrefillWaitEstimate::default(),
            health: Health::default(),
            capacity_backoff: CapacityBackoff::default(),
        });
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        key
    }

    /// Forgets an upstream.
    pub fn remove(&mut self, id: &str) {
        let Some(key) = self.by_id.remove(id) else { return };
        let Some(upstream) = self.upstreams.remove(key) else { return };
        if let Some(keys) = self.by_service.get_mut(&upstream.listed.service) {
            keys.retain(|&other| other != key);
        }
    }

    /// The upstream behind a key, if it is still listed.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// The upstream behind a key, to change.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.upstreams.get_mut(key)
    }

    /// The upstream of that id.
    pub fn get_by_id(&self, id: &str) -> Option<&Upstream> {
        self.by_id.get(id).and_then(|&key| self.upstreams.get(key))
    }

    /// Listed upstreams of a service.
    pub fn service_upstreams(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (UpstreamKey, &Upstream)> + Clone {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().map(|&key| (key, &self.upstreams[key]))
    }

    /// Upstreams of a service and role that take new work. If all of them
    /// failed lately, they are excluded all the same.
    pub fn available(
        &self,
        service: &str,
        role: PoolRole,
        now: Duration,
    ) -> impl Iterator<Item = (UpstreamKey, &Upstream)> + Clone {
        let listed = self
            .service_upstreams(service)
            .filter(move |(_, upstream)| upstream.listed.role == role && !upstream.listed.leaving);
        let any_not_ejected = listed.clone().any(|(_, upstream)| !upstream.health.is_ejected(now));
        listed.filter(move |(_, upstream)| !any_not_ejected || !upstream.health.is_ejected(now))
    }

    /// True if the upstream is listed and does not leave.
    pub fn accepts_work(&self, key: UpstreamKey) -> bool {
        self.upstreams.get(key).is_some_and(|upstream| !upstream.listed.leaving)
    }

    /// Upstreams in the list.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// True if the list is empty.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// A request ended well at an upstream.
    pub fn record_success(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.health.record_success();
        }
    }

    /// A request failed at an upstream. True if that ejected it.
    pub fn record_failure(&mut self, now: Duration, key: UpstreamKey) -> bool {
        let Some(upstream) = self.upstreams.get(key) else { return false };
        let (service, role) = (upstream.listed.service.clone(), upstream.listed.role);
        let pool = self.service_upstreams(&service).filter(|(_, other)| other.listed.role == role);
        let ejected_of = pool.fold((0, 0), |(ejected, total), (_, other)| {
            (ejected + usize::from(other.health.is_ejected(now)), total + 1)
        });
        let may_eject = EJECTION_LIMITS.may_eject(ejected_of.0, ejected_of.1);
        let health = &mut self.upstreams[key].health;
        health.record_failure(now, &EJECTION_LIMITS, may_eject);
        health.is_ejected(now)
    }
}
