//! The manifest in force: lookups, checks and the rule of acceptance.

pub mod check;
pub mod fold;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use crate::clock::from_ms;
use crate::error::Finding;
use crate::schema::manifest::Manifest;
use crate::schema::manifest::Model;
use crate::schema::manifest::NonIdempotentRule;
use crate::schema::manifest::Pool;
use crate::schema::manifest::Service;
use crate::schema::manifest::pool::Role;

/// Rank of requests without a priority class.
pub const DEFAULT_RANK: u32 = 100;

/// An accepted manifest. A request keeps the one it began with.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// Offset of the accepted record in the log, plus one.
    pub generation: u64,
    /// The body as published.
    pub body: Arc<str>,
    /// The body, read and checked.
    pub manifest: Manifest,
    account_weights: HashMap<CompactString, u32>,
}

impl Snapshot {
    /// Reads and checks a manifest body.
    ///
    /// # Errors
    /// Everything found wrong, each with line, column and field.
    pub fn parse(generation: u64, body: &str) -> Result<Self, Vec<Finding>> {
        let manifest = check::parse(body)?;
        let account_weights = manifest
            .client_accounts
            .iter()
            .map(|account| (CompactString::from(account.name.as_str()), account.weight))
            .collect();
        Ok(Self { generation, body: body.into(), manifest, account_weights })
    }

    /// Names of the models.
    pub fn model_names(&self) -> impl Iterator<Item = &str> {
        self.manifest.models.iter().map(|model| model.name.as_str())
    }

    /// The model of that name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.manifest.models.iter().find(|model| model.name == name)
    }

    /// The pool of that name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.manifest.pools.iter().find(|pool| pool.name == name)
    }

    /// The plain service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.manifest.services.iter().find(|service| service.name == name)
    }

    /// The model that `pool` serves, if it is a prefill or decode pool.
    pub fn model_of_pool(&self, pool: &str) -> Option<&Model> {
        let serves = |model: &&Model| model.prefill_pool == pool || model.decode_pool == pool;
        self.manifest.models.iter().find(serves)
    }

    /// Rank of a priority class; lower runs first.
    pub fn rank(&self, class: &str) -> u32 {
        let found = self.manifest.priority_classes.iter().find(|candidate| candidate.name == class);
        found.map_or(DEFAULT_RANK, |class| class.rank)
    }

    /// Weight of a client account, or `None` if the manifest does not name it.
    pub fn account_weight(&self, account: &str) -> Option<u32> {
        self.account_weights.get(account).copied()
    }

    /// The rule that forbids to repeat a request to `model`.
    pub fn non_idempotent_model(&self, model: &str) -> Option<&NonIdempotentRule> {
        self.manifest.non_idempotent.iter().find(|rule| rule.model == model)
    }

    /// The rule that forbids to repeat a call.
    pub fn non_idempotent_call(
        &self,
        service: &str,
        method: &str,
        path: &str,
    ) -> Option<&NonIdempotentRule> {
        self.manifest.non_idempotent.iter().find(|rule| {
            rule.model.is_empty()
                && (rule.service.is_empty() || rule.service == service)
                && (rule.method.is_empty() || rule.method.eq_ignore_ascii_case(method))
                && path.starts_with(&rule.path_prefix)
        })
    }

    /// Rate of the link between two zones in bytes per second, if limited.
    pub fn link_bytes_per_s(&self, from_zone: &str, to_zone: &str) -> Option<u64> {
        let joins = |link: &&crate::schema::manifest::Link| {
            link.from_zone == from_zone && link.to_zone == to_zone
        };
        self.manifest.links.iter().find(joins).map(|link| link.bytes_per_s)
    }

    /// Number of availability zones that links lead into.
    pub fn link_destination_zones(&self) -> u32 {
        let zones: HashSet<&str> =
            self.manifest.links.iter().map(|link| link.to_zone.as_str()).collect();
        zones.len() as u32
    }

    /// How long an idempotency key is remembered.
    pub fn idempotency_window(&self) -> Duration {
        from_ms(self.manifest.idempotency_window_ms)
    }
}

impl Pool {
    /// Time of one decode step with `streams` streams.
    pub fn step_us(&self, streams: u32) -> u32 {
        self.step_base_us + streams * self.step_per_stream_us
    }

    /// Blocks that `tokens` tokens of KV cache take.
    pub fn blocks_for(&self, tokens: u32) -> u32 {
        tokens.div_ceil(self.block_tokens.max(1))
    }

    /// True if the pool decodes.
    pub fn is_decode(&self) -> bool {
        self.role() == Role::Decode
    }
}
