//! The manifest: the configuration of models, pools, services and policy that operators
//! publish and all processes share. Lookups in an accepted manifest are here, the checks
//! of its body in [`check`], and the choice of the manifest in force in [`fold`].

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

/// Priority rank of requests whose model or service has no priority class.
pub const DEFAULT_RANK: u32 = 100;

/// A checked manifest with its generation. Until it ends, a request uses the one that was
/// in force when it arrived.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// Generation of the manifest: offset in the platform's log of the record that
    /// published it, plus one.
    pub generation: u64,
    /// Body of the manifest as published: JSON with comments.
    pub body: Arc<str>,
    /// Parsed and checked body, with defaults filled in.
    pub manifest: Manifest,
    account_weights: HashMap<CompactString, u32>,
}

impl Snapshot {
    /// Parses and checks a manifest body.
    ///
    /// # Errors
    /// Returns all problems found in the body, each with line, column and field.
    pub fn parse(generation: u64, body: &str) -> Result<Self, Vec<Finding>> {
        let manifest = check::parse(body)?;
        let account_weights = manifest
            .client_accounts
            .iter()
            .map(|account| (CompactString::from(account.name.as_str()), account.weight))
            .collect();
        Ok(Self { generation, body: body.into(), manifest, account_weights })
    }

    /// Names of all models, in the order of the manifest.
    pub fn model_names(&self) -> impl Iterator<Item = &str> {
        self.manifest.models.iter().map(|model| model.name.as_str())
    }

    /// Returns the model of this name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.manifest.models.iter().find(|model| model.name == name)
    }

    /// Returns the pool of this name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.manifest.pools.iter().find(|pool| pool.name == name)
    }

    /// Returns the plain service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.manifest.services.iter().find(|service| service.name == name)
    }

    /// Returns the model that the pool named `pool` serves, if it is a prefill or decode
    /// pool of one.
    pub fn model_of_pool(&self, pool: &str) -> Option<&Model> {
        let serves = |model: &&Model| model.prefill_pool == pool || model.decode_pool == pool;
        self.manifest.models.iter().find(serves)
    }

    /// Rank of the priority class named `class`, or [`DEFAULT_RANK`] if there is none; lower
    /// runs first.
    pub fn rank(&self, class: &str) -> u32 {
        let found = self.manifest.priority_classes.iter().find(|candidate| candidate.name == class);
        found.map_or(DEFAULT_RANK, |class| class.rank)
    }

    /// Fair-share weight of a client account, or `None` if the manifest does not list it.
    pub fn account_weight(&self, account: &str) -> Option<u32> {
        self.account_weights.get(account).copied()
    }

    /// Returns the rule, if any, by which a request to `model` must run at most once.
    pub fn non_idempotent_model(&self, model: &str) -> Option<&NonIdempotentRule> {
        self.manifest.non_idempotent.iter().find(|rule| rule.model == model)
    }

    /// Returns the rule, if any, by which a call to a plain service must run at most once.
    /// The first rule that matches applies.
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

    /// Rate of the link between two zones in bytes per second, or `None` if it is not limited.
    pub fn link_bytes_per_s(&self, from_zone: &str, to_zone: &str) -> Option<u64> {
        let connects = |link: &&crate::schema::manifest::Link| {
            link.from_zone == from_zone && link.to_zone == to_zone
        };
        self.manifest.links.iter().find(connects).map(|link| link.bytes_per_s)
    }

    /// Number of distinct availability zones that the manifest's links lead into.
    pub fn link_destination_zones(&self) -> u32 {
        let zones: HashSet<&str> =
            self.manifest.links.iter().map(|link| link.to_zone.as_str()).collect();
        zones.len() as u32
    }

    /// How long an idempotency key protects its request from running again.
    pub fn idempotency_window(&self) -> Duration {
        from_ms(self.manifest.idempotency_window_ms)
    }
}

impl Pool {
    /// Duration of one decode step with `streams` concurrent streams, in microseconds.
    pub fn step_us(&self, streams: u32) -> u32 {
        self.step_base_us + streams * self.step_per_stream_us
    }

    /// Number of KV cache blocks needed for `tokens` tokens.
    pub fn blocks_for(&self, tokens: u32) -> u32 {
        tokens.div_ceil(self.block_tokens.max(1))
    }

    /// Returns true if the engines of the pool decode.
    pub fn is_decode(&self) -> bool {
        self.role() == Role::Decode
    }
}
