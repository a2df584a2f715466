//! Balances how many engines of a service prefill and how many decode.
//!
//! Prefill and decode take engine time in proportion to what the requests ask
//! for. Engines change roles until the split of the pool follows that
//! proportion. Since a change takes seconds, small deviations are tolerated
//! (the dead band), and only a few engines change at the same time. The entry that
//! holds the lease gives the orders.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

use crate::router::configuration::Engine;
use crate::router::engine_time::EngineTimeStats;
use crate::router::upstreams::PoolRole;
use crate::router::upstreams::Upstream;
use crate::router::upstreams::UpstreamKey;
use crate::router::upstreams::Upstreams;

/// Settings of the split between prefill and decode.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoleSettings {
    /// Factor on the prefill share, so that prompts do not queue.
    pub prefill_headroom: f64,
    /// Dead band while the demand is unknown: largest deviation from the wanted
    /// split, in engines, that is tolerated.
    pub dead_band_engines: f64,
    /// Dead band once the demand is known, as a share of the engines, but at
    /// least one engine. It is wider, because the demand varies.
    pub dead_band_share: f64,
    /// Pause between two orders.
    pub order_interval: Duration,
    /// Share of the engines that may change roles at the same time while no
    /// engine is in use, but at least one engine.
    pub max_changing_share: f64,
    /// Share of the engines that may change roles at the same time while engines
    /// are in use, but at least one engine.
    pub max_changing_share_in_use: f64,
    /// Pause before a change in the opposite direction.
    pub reversal_delay: Duration,
    /// Time after which an ordered change is no longer counted as pending.
    pub change_timeout: Duration,
    /// Time for which the number of listed engines must have been stable before
    /// an order is given.
    pub list_settle_time: Duration,
}

impl Default for RoleSettings {
    fn default() -> Self {
        Self {
            prefill_headroom: 1.5,
            dead_band_engines: 0.75,
            dead_band_share: 0.08,
            order_interval: Duration::from_millis(200),
            max_changing_share: 0.2,
            max_changing_share_in_use: 0.1,
            reversal_delay: Duration::from_secs(30),
            change_timeout: Duration::from_secs(20),
            list_settle_time: Duration::from_secs(2),
        }
    }
}

/// Observed demand for the engines of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Share of engine time that prefills take, from 0 to 1; `None` before the
    /// first request.
    pub prefill_share: Option<f64>,
    /// Properties of the engines.
    pub engine: Engine,
    /// True if model requests arrived recently, so that engines are in use.
    pub has_recent_requests: bool,
    /// True if prefills waited so long recently that not all new requests were admitted.
    pub prefill_is_short: bool,
    /// True if client accounts compete for the engines.
    pub is_contended: bool,
}

/// Change of an engine's role that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleChange {
    /// Engine that changes its role.
    pub key: UpstreamKey,
    /// Role that the engine takes on.
    pub role: PoolRole,
}

/// Change that was ordered and is not complete yet.
#[derive(Debug, Clone)]
struct PendingChange {
    key: UpstreamKey,
    role: PoolRole,
    until: Duration,
}

/// Decides on the role changes of one service, and tracks those that are
/// pending.
#[derive(Debug, Clone)]
pub struct RoleBalancer {
    settings: RoleSettings,
    /// Changes that were ordered and are not complete yet.
    pending_changes: Vec<PendingChange>,
    /// Time before which no further order is given.
    next_order_at: Duration,
    /// Role and time of the last order that delays the opposite change.
    last_order: Option<(PoolRole, Duration)>,
    /// Number of engines that are listed and not leaving, with the time at which
    /// it last changed.
    engine_count: usize,
    count_changed_at: Duration,
    /// True if an order of the change that was found due last delays the opposite change:
    /// requests had shown the demand, or no accounts compete for the engines.
    delays_reversal: bool,
}

impl RoleBalancer {
    /// Creates a balancer without pending changes.
    pub fn new(settings: RoleSettings) -> Self {
        Self {
            settings,
            pending_changes: Vec::new(),
            next_order_at: Duration::ZERO,
            last_order: None,
            engine_count: 0,
            count_changed_at: Duration::ZERO,
            delays_reversal: true,
        }
    }

    /// Returns the next change for a service, if one is due. Also records when
    /// the number of listed engines changes.
    pub fn next_change(
        &mut self,
        now: Duration,
        service: &CompactString,
        upstreams: &Upstreams,
        demand: Demand,
    ) -> Option<RoleChange> {
        self.remove_completed(now, upstreams);
        let engines: Vec<(UpstreamKey, &Upstream)> =
            upstreams.service_upstreams(service).filter(|(_, engine)| is_engine(engine)).collect();
        if !self.is_list_stable(now, engines.len()) || now < self.next_order_at {
            return None;
        }
        let share = if demand.has_recent_requests {
            self.settings.max_changing_share_in_use
        } else {
            self.settings.max_changing_share
        };
        let max_changes = (engines.len() as f64 * share).max(1.0) as usize;
        if self.pending_changes.len() >= max_changes {
            return None;
        }
        let role = self.needed_role(&engines, demand)?;
        self.delays_reversal = demand.prefill_share.is_some() || !demand.is_contended;
        let needed_at_once = demand.prefill_is_short && role == PoolRole::Prefill;
        if !needed_at_once && self.is_early_reversal(now, role) {
            return None;
        }
        let key = self.candidate(now, &engines, role)?;
        Some(RoleChange { key, role })
    }

    /// True if a change to `role` reverses the last one too early.
    fn is_early_reversal(&self, now: Duration, role: PoolRole) -> bool {
        let pause = self.settings.reversal_delay;
        self.last_order.is_some_and(|(last_role, at)| last_role != role && now < at + pause)
    }

    /// Records that the order for this change was tried, whether or not it
    /// reached the engine. The change counts as pending until the instance list
    /// shows the new role or no longer lists the engine, or until
    /// [`RoleSettings::change_timeout`] has passed.
    pub fn record_ordered(&mut self, now: Duration, change: &RoleChange) {
        let until = now + self.settings.change_timeout;
        self.pending_changes.push(PendingChange { key: change.key, role: change.role, until });
        self.next_order_at = now + self.settings.order_interval;
        if self.delays_reversal {
            self.last_order = Some((change.role, now));
        }
    }

    /// Removes the pending changes that are complete or have timed out, and
    /// those of engines that are no longer listed.
    fn remove_completed(&mut self, now: Duration, upstreams: &Upstreams) {
        self.pending_changes.retain(|pending| {
            let engine = upstreams.get(pending.key);
            let done = engine.is_none_or(|engine| engine.listed.role == pending.role);
            !done && now < pending.until
        });
    }

    /// Records the number of engines that are listed and not leaving. Returns
    /// true if it has not changed for [`RoleSettings::list_settle_time`].
    fn is_list_stable(&mut self, now: Duration, engine_count: usize) -> bool {
        if self.engine_count != engine_count {
            self.engine_count = engine_count;
            self.count_changed_at = now;
        }
        now >= self.count_changed_at + self.settings.list_settle_time
    }

    /// Returns the role that one more engine should have; `None` within the
    /// dead band.
    fn needed_role(
        &self,
        engines: &[(UpstreamKey, &Upstream)],
        demand: Demand,
    ) -> Option<PoolRole> {
        let prefill_share = demand
            .prefill_share
            .unwrap_or_else(|| EngineTimeStats::default().prefill_share(&demand.engine));
        let weighted = prefill_share * self.settings.prefill_headroom;
        let wanted_share = weighted / (weighted + 1.0 - prefill_share);
        let total = engines.len();
        let wanted_engines = (total as f64 * wanted_share).max(1.0);
        let prefill_engines = engines
            .iter()
            .filter(|&&(key, engine)| self.effective_role(key, engine) == PoolRole::Prefill);
        let surplus = prefill_engines.count() as f64 - wanted_engines;
        let dead_band = match demand.prefill_share {
            Some(_) => (total as f64 * self.settings.dead_band_share).max(1.0),
            None => self.settings.dead_band_engines,
        };
        // A lack that the requests of the moment feel is no variation of the demand.
        let tolerated_lack =
            if demand.prefill_is_short { self.settings.dead_band_engines } else { dead_band };
        if surplus > dead_band {
            Some(PoolRole::Decode)
        } else if surplus < -tolerated_lack {
            Some(PoolRole::Prefill)
        } else {
            None
        }
    }

    /// Selects the engine that changes to `role`: from the zone with the most
    /// engines of the other role, the last by id, so that every lease holder
    /// selects the same. Engines at their rate limits are left out.
    fn candidate(
        &self,
        now: Duration,
        engines: &[(UpstreamKey, &Upstream)],
        role: PoolRole,
    ) -> Option<UpstreamKey> {
        let others: Vec<&(UpstreamKey, &Upstream)> = engines
            .iter()
            .filter(|(key, engine)| self.effective_role(*key, engine) != role)
            .collect();
        let mut in_zone: HashMap<&CompactString, usize> = HashMap::new();
        for (_, engine) in &others {
            *in_zone.entry(&engine.listed.zone).or_default() += 1;
        }
        let best = others
            .iter()
            .filter(|(_, engine)| engine.permits(now))
            .filter(|(key, _)| !self.pending_changes.iter().any(|pending| pending.key == *key))
            .max_by_key(|(_, engine)| (in_zone[&engine.listed.zone], &engine.listed.id));
        best.map(|(key, _)| *key)
    }

    /// Returns the role that the engine has or was ordered to take on.
    fn effective_role(&self, key: UpstreamKey, engine: &Upstream) -> PoolRole {
        let pending = self.pending_changes.iter().find(|pending| pending.key == key);
        pending.map_or(engine.listed.role, |pending| pending.role)
    }
}

fn is_engine(upstream: &Upstream) -> bool {
    !upstream.is_leaving() && upstream.listed.role != PoolRole::Service
}
