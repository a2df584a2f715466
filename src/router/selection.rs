//! Which upstream a request goes to.

use std::time::Duration;

use compact_str::CompactString;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::router::Router;
use crate::router::fleet::PoolRole;
use crate::router::fleet::Upstream;
use crate::router::fleet::UpstreamKey;
use crate::router::flow::Target;
use crate::router::request::RequestKey;

/// Cost of another availability zone for a model request, in tokens: the memory
/// moves at half the speed.
const ZONE_COST_TOKENS: f64 = 4_000.0;
/// Cost of another availability zone for a plain call, in requests.
const ZONE_COST_CALLS: f64 = 0.5;
/// Assumed until the first prefill has ended.
const FALLBACK_PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(25);
/// Random part of the costs.
const JITTER_TOKENS: f64 = 2_000.0;
const JITTER_CALLS: f64 = 0.3;

impl Router {
    /// The decode engine to ask for room next: one that did not say a moment ago
    /// that it has none.
    pub(super) fn select_decode_engine(
        &mut self,
        now: Duration,
        key: RequestKey,
    ) -> Option<UpstreamKey> {
        let request = &self.requests[key];
        let tokens = request.prompt.map_or(0, |prompt| prompt.expected_tokens());
        let candidates = self
            .fleet
            .available(&request.service, PoolRole::Decode, now)
            .filter(|(_, engine)| engine.capacity_backoff.allows(now, tokens));
        let cost = |engine: &Upstream| {
            engine.open_tokens as f64 + zone_cost(engine, &self.config.zone, ZONE_COST_TOKENS)
        };
        cheapest(candidates, &request.excluded, &mut self.rng, JITTER_TOKENS, cost)
    }

    /// The prefill engine for a request, near its decode engine.
    pub(super) fn select_prefill_engine(
        &mut self,
        now: Duration,
        key: RequestKey,
    ) -> Option<UpstreamKey> {
        let request = &self.requests[key];
        let decode = request.current.as_ref().and_then(|target| self.fleet.get(target.key));
        let zone = decode.map_or(&self.config.zone, |decode| &decode.listed.zone);
        let s_per_token = self.prefill_s_per_token(&request.service);
        let working = self.fleet.available(&request.service, PoolRole::Prefill, now);
        let any_allows = working.clone().any(|(_, engine)| engine.capacity_backoff.allows(now, 0));
        let engines =
            working.filter(|(_, engine)| !any_allows || engine.capacity_backoff.allows(now, 0));
        let cost = |engine: &Upstream| {
            let wait_s = engine.prefill_wait.expected(now).as_secs_f64();
            let load = engine.prefilling_tokens as f64 + wait_s / s_per_token;
            load + zone_cost(engine, zone, ZONE_COST_TOKENS)
        };
        cheapest(engines, &request.excluded, &mut self.rng, JITTER_TOKENS, cost)
    }

    /// Seconds that an engine needs for a token of a prompt.
    fn prefill_s_per_token(&self, service: &str) -> f64 {
        let time = self.engine_time.get(service).and_then(|time| time.prefill_time(1));
        time.unwrap_or(FALLBACK_PREFILL_TIME_PER_TOKEN).as_secs_f64()
    }

    /// The plain service's upstream for a call.
    pub(super) fn select_service_upstream(
        &mut self,
        now: Duration,
        key: RequestKey,
    ) -> Option<UpstreamKey> {
        let request = &self.requests[key];
        let any = self.fleet.available(&request.service, PoolRole::Service, now).next().is_some();
        // Engines take plain requests, too.
        let role = if any { PoolRole::Service } else { PoolRole::Decode };
        let working = self.fleet.available(&request.service, role, now);
        let cost = |upstream: &Upstream| {
            f64::from(upstream.open_requests)
                + zone_cost(upstream, &self.config.zone, ZONE_COST_CALLS)
        };
        cheapest(working, &request.excluded, &mut self.rng, JITTER_CALLS, cost)
    }

    /// The upstream behind a key, as steps name it.
    pub fn target(&self, key: UpstreamKey) -> Option<Target> {
        self.fleet.get(key).map(|upstream| Target {
            key,
            id: upstream.listed.id.clone(),
            address: upstream.listed.address,
        })
    }

    /// Counts the request as open at the upstream, and no longer elsewhere.
    pub(super) fn count_open(&mut self, key: RequestKey, target: &Target) {
        self.uncount_open(key);
        let tokens = self.open_tokens(key);
        if let Some(upstream) = self.fleet.get_mut(target.key) {
            upstream.open_requests += 1;
            upstream.open_tokens += tokens;
            self.requests[key].counted_at = Some(target.clone());
        }
    }

    /// Counts the prompt as waited for at the engine.
    pub(super) fn count_prefill(&mut self, key: RequestKey, target: &Target) {
        self.uncount_prefill(key);
        let tokens = self.prompt_tokens(key);
        if let Some(engine) = self.fleet.get_mut(target.key) {
            engine.prefilling_tokens += tokens;
            self.requests[key].prefilling_at = Some(target.key);
        }
    }

    /// The prompt is no longer waited for anywhere.
    pub(super) fn uncount_prefill(&mut self, key: RequestKey) {
        let tokens = self.prompt_tokens(key);
        let Some(engine) = self.requests[key].prefilling_at.take() else { return };
        if let Some(engine) = self.fleet.get_mut(engine) {
            engine.prefilling_tokens = engine.prefilling_tokens.saturating_sub(tokens);
        }
    }

    fn prompt_tokens(&self, key: RequestKey) -> u64 {
        self.requests[key].prompt.map_or(0, |prompt| u64::from(prompt.tokens))
    }

    /// The request is no longer open at any upstream.
    pub(super) fn uncount_open(&mut self, key: RequestKey) {
        let tokens = self.open_tokens(key);
        let Some(target) = self.requests[key].counted_at.take() else { return };
        if let Some(upstream) = self.fleet.get_mut(target.key) {
            upstream.open_requests = upstream.open_requests.saturating_sub(1);
            upstream.open_tokens = upstream.open_tokens.saturating_sub(tokens);
        }
    }

    fn open_tokens(&self, key: RequestKey) -> u64 {
        self.requests[key].prompt.map_or(0, |prompt| u64::from(prompt.expected_tokens()))
    }
}

fn zone_cost(upstream: &Upstream, zone: &CompactString, cross_zone_cost: f64) -> f64 {
    if upstream.listed.zone == *zone { 0.0 } else { cross_zone_cost }
}

/// The upstream of the least cost. A random part below `jitter` makes entries
/// with the same view part ways.
fn cheapest<'a>(
    upstreams: impl Iterator<Item = (UpstreamKey, &'a Upstream)>,
    excluded: &[UpstreamKey],
    rng: &mut ChaCha8Rng,
    jitter: f64,
    cost: impl Fn(&Upstream) -> f64,
) -> Option<UpstreamKey> {
    let candidates = upstreams.filter(|(key, _)| !excluded.contains(key));
    let costs =
        candidates.map(|(key, upstream)| (cost(upstream) + rng.random_range(0.0..jitter), key));
    costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, key)| key)
}
