//! Upstreams in the instance list, with what this entry observed of each: load,
//! failures and backoff.

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
use crate::router::event_times::EventTimes;
use crate::router::liveness::Liveness;
use crate::router::pace::Pace;
use crate::router::rate_limit::RateLimit;
use crate::router::slow_start::SlowStart;
use crate::router::slow_start::SlowStartCause;
use crate::router::slow_start::SlowStartChange;
use crate::router::slow_start::SlowStartSettings;
use crate::router::slow_start::StartDetector;

new_key_type! {
    /// Identifies one incarnation of an upstream within one entry.
    pub struct UpstreamKey;
}

/// Role of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum PoolRole {
    /// Model engine that prefills prompts.
    Prefill,
    /// Model engine that decodes, that is, generates output.
    Decode,
    /// Upstream of a plain service.
    Service,
}

/// Upstream as described by its record in the instance list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedUpstream {
    /// Id of the instance. A restarted instance may keep its id.
    pub id: CompactString,
    /// Name of the service that the upstream belongs to.
    pub service: CompactString,
    /// Address on which the upstream listens.
    pub address: SocketAddr,
    /// Availability zone in which the upstream runs.
    pub zone: CompactString,
    /// Version of its software; not that of model weights.
    pub version: CompactString,
    /// Role of the upstream, which assigns it to a pool of its service.
    pub role: PoolRole,
    /// True if the upstream is leaving and accepts no new work.
    pub leaving: bool,
    /// Start time in milliseconds since the Unix epoch; 0 if the record does
    /// not give it.
    pub started_ms: u64,
}

/// Upstream with this entry's observations of it.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Newest record of the upstream in the instance list.
    pub listed: ListedUpstream,
    /// True once this incarnation has said, in a record or a response, that it is leaving.
    pub has_said_leaving: bool,
    /// Requests of this entry that are in flight at the upstream.
    pub open_requests: u32,
    /// Prompt tokens and expected output tokens of the requests in flight.
    pub open_tokens: u64,
    /// Prompt tokens of this entry's prefills that are in flight at the
    /// upstream.
    pub prefilling_tokens: u64,
    /// Estimated wait before a prefill starts, from the latest prefills of this
    /// entry.
    pub prefill_wait: PrefillWaitEstimate,
    /// When a prefill of this entry failed at the engine; `None` once another one was accepted.
    pub prefill_failed_at: Option<Duration>,
    /// Pace of an engine, from its responses to this entry.
    pub pace: Pace,
    /// Consecutive failures and ejection.
    pub health: Health,
    /// Slow start after a start, an ejection or a change of the role, while it lasts; decode
    /// engines have none.
    pub slow_start: Option<SlowStart>,
    /// Backoff after a rejection for lack of capacity.
    pub capacity_backoff: CapacityBackoff,
    /// Time until which the upstream wants no requests of this entry.
    pub turned_away_until: Duration,
    /// Rate limit that the upstream names in its responses, if it does.
    pub rate_limit: Option<RateLimit>,
    /// When this entry received events of the upstream's streams.
    pub event_times: EventTimes,
    /// Calls by which an engine with silent streams was asked for a sign of life.
    pub liveness: Liveness,
}

impl Upstream {
    /// True if the upstream takes a request now: it is not at its rate limit, if it has
    /// one, and has not turned this entry away for a time.
    pub fn permits(&self, now: Duration) -> bool {
        self.sendable_at(now) <= now
    }

    /// Returns the earliest time, now or later, at which the upstream takes a request.
    pub fn sendable_at(&self, now: Duration) -> Duration {
        let permit_at = self.rate_limit.map_or(now, |limit| limit.permit_at(now));
        permit_at.max(self.turned_away_until)
    }

    /// True if the upstream is leaving and gets no new work.
    pub fn is_leaving(&self) -> bool {
        self.has_said_leaving
    }

    /// True if the upstream has this software version, or any will do.
    pub fn has_version(&self, version: Option<&str>) -> bool {
        version.is_none_or(|version| self.listed.version == version)
    }
}

/// Backoff from an upstream that lacked capacity: until it ends, the upstream
/// gets no request of the rejected size or larger.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CapacityBackoff {
    tokens: u32,
    until: Duration,
}

impl CapacityBackoff {
    /// Records the rejection of a request of `tokens` tokens, from which a
    /// backoff of this length starts. During a backoff the smallest rejected
    /// size counts.
    pub fn record_rejection(&mut self, now: Duration, tokens: u32, length: Duration) {
        self.tokens = if now < self.until { self.tokens.min(tokens) } else { tokens };
        self.until = now + length;
    }

    /// True if a request of `tokens` tokens may be sent now: there is no
    /// backoff, or it is for larger requests.
    pub fn allows(&self, now: Duration, tokens: u32) -> bool {
        now >= self.until || tokens < self.tokens
    }

    /// When the backoff ends; in the past if there is none.
    pub fn ends_at(&self) -> Duration {
        self.until
    }
}

/// When an upstream that fails is ejected, and for how long.
const EJECTION_LIMITS: EjectionLimits = EjectionLimits {
    consecutive_failures: 2,
    base_ejection: Duration::from_millis(1_500),
    max_ejected_percent: 60,
};

/// All upstreams in the instance list, indexed by id and by service.
#[derive(Debug, Default)]
pub struct Upstreams {
    upstreams: SlotMap<UpstreamKey, Upstream>,
    by_id: HashMap<CompactString, UpstreamKey>,
    by_service: HashMap<CompactString, Vec<UpstreamKey>>,
    /// Start times of the incarnations that have said that they are leaving, by id. They do not
    /// come back into use, whatever later records say: the store may carry out a heartbeat late,
    /// or come back from an older copy. Kept when a record vanishes, since it may come back.
    said_leaving: HashMap<CompactString, u64>,
    slow_start: SlowStartSettings,
    start_detector: StartDetector,
    /// Slow starts that began or ended; see [`Upstreams::take_slow_start_changes`].
    slow_start_changes: Vec<SlowStartChange>,
}

impl Upstreams {
    /// Creates an empty list whose upstreams start slowly by these settings.
    pub fn new(slow_start: SlowStartSettings) -> Self {
        Self { slow_start, ..Self::default() }
    }

    /// Adds an upstream or updates it. A restarted one, or one with another
    /// address or service, replaces the old one under a new key. An incarnation that was
    /// leaving stays so.
    pub fn upsert(&mut self, now: Duration, mut listed: ListedUpstream) -> UpstreamKey {
        if listed.leaving {
            self.said_leaving.insert(listed.id.clone(), listed.started_ms);
        }
        let has_said_leaving = self.said_leaving.get(&listed.id) == Some(&listed.started_ms);
        if let Some(&key) = self.by_id.get(&listed.id) {
            let current = &mut self.upstreams[key];
            let same = current.listed.address == listed.address
                && current.listed.service == listed.service
                && current.listed.started_ms == listed.started_ms;
            if same {
                let role_changed = current.listed.role != listed.role;
                listed.leaving |= current.listed.leaving;
                current.listed = listed;
                current.has_said_leaving = has_said_leaving;
                if role_changed {
                    self.begin_slow_start(key, SlowStartCause::RoleChanged, now);
                }
                return key;
            }
            self.remove(&listed.id);
        }
        listed.leaving |= has_said_leaving;
        let has_started = self.start_detector.record_listed(now, &listed, &self.slow_start);
        let (id, service) = (listed.id.clone(), listed.service.clone());
        let key = self.upstreams.insert(Upstream {
            listed,
            has_said_leaving,
            open_requests: 0,
            open_tokens: 0,
            prefilling_tokens: 0,
            prefill_wait: PrefillWaitEstimate::default(),
            prefill_failed_at: None,
            pace: Pace::default(),
            health: Health::default(),
            slow_start: None,
            capacity_backoff: CapacityBackoff::default(),
            turned_away_until: Duration::ZERO,
            rate_limit: None,
            event_times: EventTimes::default(),
            liveness: Liveness::default(),
        });
        self.by_id.insert(id, key);
        self.by_service.entry(service).or_default().push(key);
        if has_started {
            self.begin_slow_start(key, SlowStartCause::Started, now);
        }
        key
    }

    /// Records that an upstream has said that it is leaving. Returns true if it was not
    /// known to be.
    pub fn mark_leaving(&mut self, key: UpstreamKey) -> bool {
        let Some(upstream) = self.upstreams.get_mut(key) else { return false };
        let was_leaving = upstream.is_leaving();
        upstream.has_said_leaving = true;
        let listed = &upstream.listed;
        self.said_leaving.insert(listed.id.clone(), listed.started_ms);
        !was_leaving
    }

    /// True if an incarnation with this id that is not listed has said that it is leaving.
    pub fn has_said_leaving(&self, id: &str) -> bool {
        let listed = self.get_by_id(id).map(|upstream| upstream.listed.started_ms);
        self.said_leaving.get(id).is_some_and(|said| Some(*said) != listed)
    }

    /// Ids of all listed upstreams.
    pub fn ids(&self) -> impl Iterator<Item = &CompactString> {
        self.by_id.keys()
    }

    /// Removes the upstream with this id, if there is one.
    pub fn remove(&mut self, id: &str) {
        let Some(key) = self.by_id.remove(id) else { return };
        let Some(upstream) = self.upstreams.remove(key) else { return };
        if let Some(keys) = self.by_service.get_mut(&upstream.listed.service) {
            keys.retain(|&other| other != key);
        }
    }

    /// Returns the upstream with this key, if it is still listed.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Returns the upstream with this key for changes, if it is still listed.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.upstreams.get_mut(key)
    }

    /// Returns the upstream with this id, if it is listed.
    pub fn get_by_id(&self, id: &str) -> Option<&Upstream> {
        self.by_id.get(id).and_then(|&key| self.upstreams.get(key))
    }

    /// All listed upstreams of a service, whatever their role and state.
    pub fn service_upstreams(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (UpstreamKey, &Upstream)> + Clone {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().map(|&key| (key, &self.upstreams[key]))
    }

    /// Upstreams of a service and role that accept new work: not leaving and
    /// not ejected. If all of them are ejected, all that are not leaving are
    /// returned. They may be at their rate limits.
    pub fn available(
        &self,
        service: &str,
        role: PoolRole,
        now: Duration,
    ) -> impl Iterator<Item = (UpstreamKey, &Upstream)> + Clone {
        without_ejected(self.not_leaving(service, role), now)
    }

    /// Upstreams of a service, role and version that accept new work and may be sent a
    /// request now under their rate limits; without a version, those of any. If all of
    /// them are ejected, the ejected ones are returned.
    pub fn sendable(
        &self,
        service: &str,
        role: PoolRole,
        version: Option<&str>,
        now: Duration,
    ) -> impl Iterator<Item = (UpstreamKey, &Upstream)> + Clone {
        let permitted = self
            .not_leaving(service, role)
            .filter(move |(_, upstream)| upstream.permits(now) && upstream.has_version(version));
        without_ejected(permitted, now)
    }

    fn not_leaving(
        &self,
        service: &str,
        role: PoolRole,
    ) -> impl Iterator<Item = (UpstreamKey, &Upstream)> + Clone {
        self.service_upstreams(service)
            .filter(move |(_, upstream)| upstream.listed.role == role && !upstream.is_leaving())
    }

    /// Returns the upstream of a service, role and version that may be sent a request
    /// first under its rate limit, and when; `None` if no such upstream accepts new work.
    /// Without a version, those of any count.
    pub fn next_sendable(
        &self,
        service: &str,
        role: PoolRole,
        version: Option<&str>,
        now: Duration,
    ) -> Option<(UpstreamKey, Duration)> {
        let usable = self
            .not_leaving(service, role)
            .filter(move |(_, upstream)| upstream.has_version(version));
        let sendable_at =
            without_ejected(usable, now).map(|(key, upstream)| (key, upstream.sendable_at(now)));
        sendable_at.min_by_key(|(_, at)| *at)
    }

    /// Takes the permits for a number of requests to an upstream, if it has a rate limit.
    pub fn take_permits(&mut self, now: Duration, key: UpstreamKey, permits: u32) {
        let upstream = self.upstreams.get_mut(key);
        if let Some(limit) = upstream.and_then(|upstream| upstream.rate_limit.as_mut()) {
            limit.take(now, permits);
        }
    }

    /// Gives back the permit for a request that was not sent.
    pub fn give_back_permit(&mut self, key: UpstreamKey) {
        let upstream = self.upstreams.get_mut(key);
        if let Some(limit) = upstream.and_then(|upstream| upstream.rate_limit.as_mut()) {
            limit.give_back();
        }
    }

    /// Sets this entry's share, from 0 to 1, of the rate limits of all upstreams.
    pub fn set_rate_limit_share(&mut self, now: Duration, share: f64) {
        for upstream in self.upstreams.values_mut() {
            if let Some(limit) = &mut upstream.rate_limit {
                limit.set_share(now, share);
            }
        }
    }

    /// True if the upstream is listed, not leaving, and has not turned this entry away for
    /// a time. It may be at its rate limit.
    pub fn accepts_work(&self, now: Duration, key: UpstreamKey) -> bool {
        self.upstreams
            .get(key)
            .is_some_and(|upstream| !upstream.is_leaving() && upstream.turned_away_until <= now)
    }

    /// Records that an upstream wants no requests of this entry until a time.
    pub fn turn_away(&mut self, key: UpstreamKey, until: Duration) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.turned_away_until = upstream.turned_away_until.max(until);
        }
    }

    /// Number of listed upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// True if no upstream is listed.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Records that an upstream served a request.
    pub fn record_success(&mut self, now: Duration, key: UpstreamKey) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        upstream.health.record_success();
        if let Some(slow_start) = &mut upstream.slow_start {
            slow_start.record_success(now);
        }
    }

    /// Records that a request failed at an upstream. Returns true if the
    /// upstream is ejected now.
    pub fn record_failure(&mut self, now: Duration, key: UpstreamKey) -> bool {
        let Some(upstream) = self.upstreams.get(key) else { return false };
        let (service, role) = (upstream.listed.service.clone(), upstream.listed.role);
        let pool = self.service_upstreams(&service).filter(|(_, other)| other.listed.role == role);
        let ejected_and_total = pool.fold((0, 0), |(ejected, total), (_, other)| {
            (ejected + usize::from(other.health.is_ejected(now)), total + 1)
        });
        let may_eject = EJECTION_LIMITS.may_eject(ejected_and_total.0, ejected_and_total.1);
        let health = &mut self.upstreams[key].health;
        let was_ejected = health.is_ejected(now);
        health.record_failure(now, &EJECTION_LIMITS, may_eject);
        let ejected_until = health.ejected_until(now);
        if let Some(slow_start) = &mut self.upstreams[key].slow_start {
            slow_start.record_failure(now);
        }
        if let Some(until) = ejected_until.filter(|_| !was_ejected) {
            self.begin_slow_start(key, SlowStartCause::Recovered, until);
        }
        ejected_until.is_some()
    }

    /// Starts the slow start of an upstream, whose share grows from `from` on.
    fn begin_slow_start(&mut self, key: UpstreamKey, cause: SlowStartCause, from: Duration) {
        let upstream = &mut self.upstreams[key];
        // A decode engine limits by its reservations what it gets.
        if self.slow_start.initial_share >= 1.0 || upstream.listed.role == PoolRole::Decode {
            return;
        }
        let slow_start = SlowStart::new(self.slow_start, cause, from);
        self.slow_start_changes.push(slow_start.change(&upstream.listed.id, None));
        upstream.slow_start = Some(slow_start);
    }

    /// Ends the slow starts that are over. Returns those that have begun or ended since the
    /// last call.
    pub fn take_slow_start_changes(&mut self, now: Duration) -> Vec<SlowStartChange> {
        for upstream in self.upstreams.values_mut() {
            if let Some(over) = upstream.slow_start.take_if(|slow_start| slow_start.is_over(now)) {
                self.slow_start_changes.push(over.change(&upstream.listed.id, Some(now)));
            }
        }
        std::mem::take(&mut self.slow_start_changes)
    }
}

/// Leaves out the ejected upstreams, unless all of them are ejected.
fn without_ejected<'a>(
    upstreams: impl Iterator<Item = (UpstreamKey, &'a Upstream)> + Clone,
    now: Duration,
) -> impl Iterator<Item = (UpstreamKey, &'a Upstream)> + Clone {
    let any_not_ejected = upstreams.clone().any(|(_, upstream)| !upstream.health.is_ejected(now));
    upstreams.filter(move |(_, upstream)| !any_not_ejected || !upstream.health.is_ejected(now))
}
