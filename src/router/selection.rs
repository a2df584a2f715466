//! Selection of the upstream for a request: the one with the lowest cost, which
//! grows with its load and with the distance between availability zones.

use std::time::Duration;

use compact_str::CompactString;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::router::Router;
use crate::router::flow::Target;
use crate::router::request::RequestKey;
use crate::router::upstreams::PoolRole;
use crate::router::upstreams::Upstream;
use crate::router::upstreams::UpstreamKey;

/// Cost of an upstream in another availability zone for a model request, in
/// tokens: KV transfers run at half the speed across zones.
const ZONE_COST_TOKENS: f64 = 4_000.0;
/// Cost of a prefill engine of another software version than the decode engine, in tokens:
/// what one version computes need not suit the other.
const VERSION_COST_TOKENS: f64 = 8_000.0;
/// Cost of each second by which an output takes longer than at an engine of usual pace, in
/// tokens: its memory is not free for others until then.
const LONGER_OUTPUT_COST_TOKENS_PER_S: f64 = 1_000.0;
/// Cost of an upstream in another availability zone for a plain call, in open
/// requests.
const ZONE_COST_CALLS: f64 = 0.5;
/// Prefill time per token without a queue that is assumed until one has been
/// measured.
const FALLBACK_PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(25);
/// Upper bound of the random part of the cost for a model request, in tokens.
const JITTER_TOKENS: f64 = 2_000.0;
/// Upper bound of the random part of the cost for a plain call, in open
/// requests.
const JITTER_CALLS: f64 = 0.3;

impl Router {
    /// Selects the decode engine to ask for a reservation next. Engines that
    /// have just rejected one of this size or a smaller one are left out, and those of
    /// another version than the one at which the stream began. There is no slow start here: an
    /// engine grants only as many reservations as its memory holds.
    pub(super) fn select_decode_engine(
        &mut self,
        now: Duration,
        key: RequestKey,
    ) -> Option<UpstreamKey> {
        let request = &self.requests[key];
        let tokens = request.reserved_tokens;
        let output_time = self.typical_output_time(now, key);
        let typical_s = self.typical_event_s(now, &request.service);
        let remaining = request.remaining_time(now);
        let can_end = |engine: &Upstream| {
            output_time.mul_f64(engine.pace.event_factor(now, typical_s)) <= remaining
        };
        let sendable = self.upstreams.sendable(
            &request.service,
            PoolRole::Decode,
            request.required_version(),
            now,
        );
        let any_can_end = sendable.clone().any(|(_, engine)| can_end(engine));
        let candidates = sendable
            .filter(|(_, engine)| !any_can_end || can_end(engine))
            .filter(|(_, engine)| engine.capacity_backoff.allows(now, tokens));
        let cost = |engine: &Upstream| {
            let longer_s =
                output_time.as_secs_f64() * (engine.pace.event_factor(now, typical_s) - 1.0);
            engine.open_tokens as f64
                + zone_cost(engine, &self.settings.zone, ZONE_COST_TOKENS)
                + longer_s * LONGER_OUTPUT_COST_TOKENS_PER_S
        };
        cheapest(candidates, &request.excluded, &mut self.rng, JITTER_TOKENS, cost, |_, _| false)
    }

    /// Selects the prefill engine for a request, preferring the zone and the software
    /// version of its decode engine. Engines that have just rejected a prefill are left out,
    /// unless all of them have.
    pub(super) fn select_prefill_engine(
        &mut self,
        now: Duration,
        key: RequestKey,
    ) -> Option<UpstreamKey> {
        let request = &self.requests[key];
        let decode = request.current.as_ref().and_then(|target| self.upstreams.get(target.key));
        let zone = decode.map_or(&self.settings.zone, |decode| &decode.listed.zone);
        let version = decode.map(|decode| decode.listed.version.as_str());
        let s_per_token = self.prefill_s_per_token(&request.service);
        let sendable = self.upstreams.sendable(&request.service, PoolRole::Prefill, None, now);
        let any_allowed =
            sendable.clone().any(|(_, engine)| engine.capacity_backoff.allows(now, 0));
        let engines =
            sendable.filter(|(_, engine)| !any_allowed || engine.capacity_backoff.allows(now, 0));
        let prompt_tokens = self.prompt_tokens(key) as f64;
        let typical_s = self.typical_prefill_s(now, &request.service);
        let cost = |engine: &Upstream| {
            let wait_s = engine.prefill_wait.expected(now).as_secs_f64();
            let queued_tokens = engine.prefilling_tokens as f64;
            let factor = engine.pace.prefill_factor(now, typical_s);
            let longer_tokens = (queued_tokens + prompt_tokens) * (factor - 1.0);
            let load = queued_tokens + wait_s / s_per_token + longer_tokens;
            let version_cost = if engine.has_version(version) { 0.0 } else { VERSION_COST_TOKENS };
            load + zone_cost(engine, zone, ZONE_COST_TOKENS) + version_cost
        };
        cheapest(engines, &request.excluded, &mut self.rng, JITTER_TOKENS, cost, slow_start(now))
    }

    /// Prefill time per prompt token without a queue, in seconds.
    fn prefill_s_per_token(&self, service: &str) -> f64 {
        let time = self.engine_time.get(service).and_then(|time| time.prefill_time(1));
        time.unwrap_or(FALLBACK_PREFILL_TIME_PER_TOKEN).as_secs_f64()
    }

    /// Selects the upstream for a call to a plain service, of those that may be sent a
    /// request now.
    pub(super) fn select_service_upstream(
        &mut self,
        now: Duration,
        key: RequestKey,
    ) -> Option<UpstreamKey> {
        let request = &self.requests[key];
        let role = self.call_role(now, &request.service);
        let sendable = self.upstreams.sendable(&request.service, role, None, now);
        let cost = |upstream: &Upstream| {
            f64::from(upstream.open_requests)
                + zone_cost(upstream, &self.settings.zone, ZONE_COST_CALLS)
        };
        cheapest(sendable, &request.excluded, &mut self.rng, JITTER_CALLS, cost, slow_start(now))
    }

    /// Role of the upstreams that calls to a service go to: decode engines accept plain
    /// requests, too.
    pub(super) fn call_role(&self, now: Duration, service: &str) -> PoolRole {
        let any_service =
            self.upstreams.available(service, PoolRole::Service, now).next().is_some();
        if any_service { PoolRole::Service } else { PoolRole::Decode }
    }

    /// Returns the upstream with this key as a target of steps, if it is still
    /// listed.
    pub fn target(&self, key: UpstreamKey) -> Option<Target> {
        self.upstreams.get(key).map(|upstream| Target {
            key,
            id: upstream.listed.id.clone(),
            address: upstream.listed.address,
            version: upstream.listed.version.clone(),
        })
    }

    /// Counts the request as open at the upstream, and no longer at another
    /// one.
    pub(super) fn count_open(&mut self, key: RequestKey, target: &Target) {
        self.uncount_open(key);
        let tokens = self.open_tokens(key);
        if let Some(upstream) = self.upstreams.get_mut(target.key) {
            upstream.open_requests += 1;
            upstream.open_tokens += tokens;
            self.requests[key].counted_upstream = Some(target.clone());
        }
    }

    /// Adds the prompt to the tokens that are being prefilled at the engine,
    /// and no longer counts it at another one.
    pub(super) fn count_prefill(&mut self, key: RequestKey, target: &Target) {
        self.uncount_prefill(key);
        let tokens = self.prompt_tokens(key);
        if let Some(engine) = self.upstreams.get_mut(target.key) {
            engine.prefilling_tokens += tokens;
            self.requests[key].prefilling_engine = Some(target.key);
        }
    }

    /// Removes the prompt from the tokens that are being prefilled at its
    /// engine.
    pub(super) fn uncount_prefill(&mut self, key: RequestKey) {
        let tokens = self.prompt_tokens(key);
        let Some(engine) = self.requests[key].prefilling_engine.take() else { return };
        if let Some(engine) = self.upstreams.get_mut(engine) {
            engine.prefilling_tokens = engine.prefilling_tokens.saturating_sub(tokens);
        }
    }

    fn prompt_tokens(&self, key: RequestKey) -> u64 {
        self.requests[key].prompt.map_or(0, |prompt| u64::from(prompt.tokens))
    }

    /// Stops counting the request as open at its upstream.
    pub(super) fn uncount_open(&mut self, key: RequestKey) {
        let tokens = self.open_tokens(key);
        let Some(target) = self.requests[key].counted_upstream.take() else { return };
        if let Some(upstream) = self.upstreams.get_mut(target.key) {
            upstream.open_requests = upstream.open_requests.saturating_sub(1);
            upstream.open_tokens = upstream.open_tokens.saturating_sub(tokens);
        }
    }

    fn open_tokens(&self, key: RequestKey) -> u64 {
        u64::from(self.requests[key].reserved_tokens)
    }
}

fn zone_cost(upstream: &Upstream, zone: &CompactString, cross_zone_cost: f64) -> f64 {
    if upstream.listed.zone == *zone { 0.0 } else { cross_zone_cost }
}

/// Tells whether an upstream is held back by its slow start.
fn slow_start(now: Duration) -> impl Fn(&Upstream, &mut ChaCha8Rng) -> bool {
    move |upstream, rng| {
        let slow_start = upstream.slow_start.as_ref();
        slow_start.is_some_and(|slow_start| slow_start.holds_back(now, rng))
    }
}

/// Returns the upstream with the lowest cost. A random addition below `jitter` keeps entries
/// with the same information from all choosing the same one. Upstreams that `holds_back`
/// names come after all others.
fn cheapest<'a>(
    upstreams: impl Iterator<Item = (UpstreamKey, &'a Upstream)>,
    excluded: &[UpstreamKey],
    rng: &mut ChaCha8Rng,
    jitter: f64,
    cost: impl Fn(&Upstream) -> f64,
    holds_back: impl Fn(&Upstream, &mut ChaCha8Rng) -> bool,
) -> Option<UpstreamKey> {
    let candidates = upstreams.filter(|(key, _)| !excluded.contains(key));
    let ranks = candidates.map(|(key, upstream)| {
        let cost = cost(upstream) + rng.random_range(0.0..jitter);
        (holds_back(upstream, rng), cost, key)
    });
    let best = ranks.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    best.map(|(_, _, key)| key)
}
