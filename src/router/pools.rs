//! Which upstream a request goes to.

use std::time::Duration;

use rand::RngExt;

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
const ASSUMED_PREFILL_TOKEN: Duration = Duration::from_micros(25);
/// Spread of the costs, so that entries with the same view part ways.
const SPREAD_TOKENS: f64 = 2_000.0;
const SPREAD_CALLS: f64 = 0.3;

impl Router {
    /// Decode engines for a request, the best first.
    pub(super) fn decode_engines(&mut self, now: Duration, key: RequestKey) -> Vec<UpstreamKey> {
        let service = self.requests[key].service.clone();
        let working = self.fleet.working(&service, PoolRole::Decode, now);
        let tokens = self.requests[key].prompt.map_or(0, |prompt| prompt.expected_tokens());
        let rested = self.rested(now, &working, tokens);
        let tried = self.requests[key].tried.clone();
        self.ranked(rested, &tried, None, |engine| engine.open_tokens as f64)
    }

    /// Prefill engines for a request, the best first, near the decode engine.
    pub(super) fn prefill_engines(&mut self, now: Duration, key: RequestKey) -> Vec<UpstreamKey> {
        let request = &self.requests[key];
        let decode = request.current.as_ref().and_then(|target| self.fleet.get(target.key));
        let zone = decode.map(|decode| decode.listed.zone.clone());
        let tried = request.tried.clone();
        let service = request.service.clone();
        let working = self.fleet.working(&service, PoolRole::Prefill, now);
        let rested = self.rested(now, &working, 0);
        let engines = if rested.is_empty() { working } else { rested };
        let token_s = self.prefill_token_s(&service);
        self.ranked(engines, &tried, zone.as_deref(), |engine| {
            let wait_s = engine.prefill_wait.expected(now).as_secs_f64();
            engine.prefilling_tokens as f64 + wait_s / token_s
        })
    }

    /// Seconds that an engine needs for a token of a prompt.
    fn prefill_token_s(&self, service: &str) -> f64 {
        let time = self.engine_time.get(service).and_then(|time| time.prefill_time(1));
        time.unwrap_or(ASSUMED_PREFILL_TOKEN).as_secs_f64()
    }

    /// Those that did not say a moment ago that they have no room for it.
    fn rested(&self, now: Duration, engines: &[UpstreamKey], tokens: u32) -> Vec<UpstreamKey> {
        let is_rested = |key: &UpstreamKey| {
            self.fleet.get(*key).is_some_and(|engine| engine.full.may_take(now, tokens))
        };
        engines.iter().copied().filter(is_rested).collect()
    }

    fn ranked(
        &mut self,
        engines: Vec<UpstreamKey>,
        tried: &[UpstreamKey],
        zone: Option<&str>,
        load_tokens: impl Fn(&Upstream) -> f64,
    ) -> Vec<UpstreamKey> {
        let zone = zone.unwrap_or(&self.config.zone);
        let mut ranked: Vec<(f64, UpstreamKey)> = Vec::with_capacity(engines.len());
        for key in engines {
            let Some(engine) = self.fleet.get(key).filter(|_| !tried.contains(&key)) else {
                continue;
            };
            let away = if engine.listed.zone == zone { 0.0 } else { ZONE_COST_TOKENS };
            let spread = self.rng.random_range(0.0..SPREAD_TOKENS);
            ranked.push((load_tokens(engine) + away + spread, key));
        }
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        ranked.into_iter().map(|(_, key)| key).collect()
    }

    /// The plain service's upstream for a call.
    pub(super) fn service_upstream(
        &mut self,
        now: Duration,
        key: RequestKey,
    ) -> Option<UpstreamKey> {
        let request = &self.requests[key];
        let service = request.service.clone();
        let tried = request.tried.clone();
        let mut working = self.fleet.working(&service, PoolRole::Service, now);
        if working.is_empty() {
            // Engines take plain requests, too.
            working = self.fleet.working(&service, PoolRole::Decode, now);
        }
        let mut best: Option<(f64, UpstreamKey)> = None;
        for key in working {
            let Some(upstream) = self.fleet.get(key).filter(|_| !tried.contains(&key)) else {
                continue;
            };
            let away = if upstream.listed.zone == self.config.zone { 0.0 } else { ZONE_COST_CALLS };
            let cost = f64::from(upstream.open) + away + self.rng.random_range(0.0..SPREAD_CALLS);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
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
    pub(super) fn count_at(&mut self, key: RequestKey, target: &Target) {
        self.settle(key);
        let tokens = self.open_tokens(key);
        if let Some(upstream) = self.fleet.get_mut(target.key) {
            upstream.open += 1;
            upstream.open_tokens += tokens;
            self.requests[key].counted = Some(target.clone());
        }
    }

    /// Counts the prompt as waited for at the engine.
    pub(super) fn count_prefill(&mut self, key: RequestKey, target: &Target) {
        self.settle_prefill(key);
        let tokens = self.prompt_tokens(key);
        if let Some(engine) = self.fleet.get_mut(target.key) {
            engine.prefilling_tokens += tokens;
            self.requests[key].prefilling = Some(target.key);
        }
    }

    /// The prompt is no longer waited for anywhere.
    pub(super) fn settle_prefill(&mut self, key: RequestKey) {
        let tokens = self.prompt_tokens(key);
        let Some(engine) = self.requests[key].prefilling.take() else { return };
        if let Some(engine) = self.fleet.get_mut(engine) {
            engine.prefilling_tokens = engine.prefilling_tokens.saturating_sub(tokens);
        }
    }

    fn prompt_tokens(&self, key: RequestKey) -> u64 {
        self.requests[key].prompt.map_or(0, |prompt| u64::from(prompt.tokens))
    }

    /// The request is no longer open at any upstream.
    pub(super) fn settle(&mut self, key: RequestKey) {
        let tokens = self.open_tokens(key);
        let Some(target) = self.requests[key].counted.take() else { return };
        if let Some(upstream) = self.fleet.get_mut(target.key) {
            upstream.open = upstream.open.saturating_sub(1);
            upstream.open_tokens = upstream.open_tokens.saturating_sub(tokens);
        }
    }

    fn open_tokens(&self, key: RequestKey) -> u64 {
        self.requests[key].prompt.map_or(0, |prompt| u64::from(prompt.expected_tokens()))
    }
}
