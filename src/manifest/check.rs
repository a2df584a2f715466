//! Parses and checks manifest bodies. The result depends on the body alone, so all
//! processes find the same manifests valid.

use std::collections::HashSet;

use crate::document;
use crate::error::Finding;
use crate::schema::manifest::Manifest;
use crate::schema::manifest::Model;
use crate::schema::manifest::Policy;
use crate::schema::manifest::Pool;
use crate::schema::manifest::pool::Role;

/// Values for policy fields that are missing or 0.
const DEFAULT_POLICY: Policy = Policy {
    admit_at_target_percent: 90,
    retry_budget_percent: 10,
    ejection_cap_percent: 50,
    ejection_failures: 5,
    ejection_ms: 2_000,
    cross_zone_cost_ms: 5,
    cross_region_cost_ms: 60,
    max_attempts: 4,
};
const PERCENT: u32 = 100;
const DEFAULT_PROMPT_BYTES_PER_TOKEN: u32 = 4;

/// Parses a manifest body, fills in defaults and checks it.
///
/// # Errors
/// Returns all problems found in the body, each with line, column and field.
pub fn parse(body: &str) -> Result<Manifest, Vec<Finding>> {
    let mut manifest: Manifest = document::parse(body)?;
    fill_defaults(&mut manifest);
    let mut checker = Checker { body, findings: Vec::new() };
    checker.check(&manifest);
    match checker.findings.is_empty() {
        true => Ok(manifest),
        false => Err(checker.findings),
    }
}

fn fill_defaults(manifest: &mut Manifest) {
    for model in &mut manifest.models {
        if model.prompt_bytes_per_token == 0 {
            model.prompt_bytes_per_token = DEFAULT_PROMPT_BYTES_PER_TOKEN;
        }
    }
    let policy = manifest.policy.get_or_insert(DEFAULT_POLICY);
    let fields = [
        (&mut policy.admit_at_target_percent, DEFAULT_POLICY.admit_at_target_percent),
        (&mut policy.retry_budget_percent, DEFAULT_POLICY.retry_budget_percent),
        (&mut policy.ejection_cap_percent, DEFAULT_POLICY.ejection_cap_percent),
        (&mut policy.ejection_failures, DEFAULT_POLICY.ejection_failures),
        (&mut policy.ejection_ms, DEFAULT_POLICY.ejection_ms),
        (&mut policy.cross_zone_cost_ms, DEFAULT_POLICY.cross_zone_cost_ms),
        (&mut policy.cross_region_cost_ms, DEFAULT_POLICY.cross_region_cost_ms),
        (&mut policy.max_attempts, DEFAULT_POLICY.max_attempts),
    ];
    for (field, default) in fields {
        if *field == 0 {
            *field = default;
        }
    }
}

struct Checker<'a> {
    body: &'a str,
    findings: Vec<Finding>,
}

impl Checker<'_> {
    fn require(&mut self, is_valid: bool, path: &str, expected: &str) {
        if !is_valid {
            self.findings.push(document::locate(self.body, path, format!("expected {expected}")));
        }
    }

    fn check(&mut self, manifest: &Manifest) {
        self.require(!manifest.name.is_empty(), "name", "a non-empty name");
        self.require(!manifest.pools.is_empty(), "pools", "at least one pool");
        self.check_names(manifest);
        for (index, pool) in manifest.pools.iter().enumerate() {
            self.check_pool(&format!("pools[{index}]"), pool);
        }
        for (index, model) in manifest.models.iter().enumerate() {
            self.check_model(&format!("models[{index}]"), model, manifest);
        }
        self.check_services(manifest);
        self.check_rules(manifest);
        self.check_limits(manifest);
    }

    fn check_names(&mut self, manifest: &Manifest) {
        let pools = manifest.pools.iter().map(|pool| pool.name.as_str());
        self.check_unique("pools", pools);
        let models = manifest.models.iter().map(|model| model.name.as_str());
        self.check_unique("models", models);
        let services = manifest.services.iter().map(|service| service.name.as_str());
        self.check_unique("services", services);
        let accounts = manifest.client_accounts.iter().map(|account| account.name.as_str());
        self.check_unique("client_accounts", accounts);
        let classes = manifest.priority_classes.iter().map(|class| class.name.as_str());
        self.check_unique("priority_classes", classes);
    }

    fn check_unique<'n>(&mut self, list: &str, names: impl Iterator<Item = &'n str>) {
        let mut seen = HashSet::new();
        for (index, name) in names.enumerate() {
            let path = format!("{list}[{index}].name");
            self.require(!name.is_empty(), &path, "a non-empty name");
            self.require(
                seen.insert(name),
                &path,
                "a name that no earlier element of the list has",
            );
        }
    }

    fn check_pool(&mut self, path: &str, pool: &Pool) {
        let mut positive = |value: u32, field: &str| {
            self.require(value > 0, &format!("{path}.{field}"), "a number above 0");
        };
        positive(pool.replicas, "replicas");
        match pool.role() {
            Role::Prefill => {
                positive(pool.prefill_tokens_per_s, "prefill_tokens_per_s");
                positive(pool.kv_eviction_ms, "kv_eviction_ms");
            }
            Role::Decode => {
                positive(pool.blocks, "blocks");
                positive(pool.block_tokens, "block_tokens");
                positive(pool.max_streams, "max_streams");
                positive(pool.step_base_us, "step_base_us");
            }
            Role::Service => positive(pool.max_calls, "max_calls"),
            Role::Unspecified => {
                self.require(false, &format!("{path}.role"), "PREFILL, DECODE or SERVICE");
            }
        }
    }

    fn check_model(&mut self, path: &str, model: &Model, manifest: &Manifest) {
        self.check_pool_role(path, "prefill_pool", &model.prefill_pool, Role::Prefill, manifest);
        self.check_pool_role(path, "decode_pool", &model.decode_pool, Role::Decode, manifest);
        let mut positive = |value: u32, field: &str| {
            self.require(value > 0, &format!("{path}.{field}"), "a number above 0");
        };
        positive(model.max_prompt_tokens, "max_prompt_tokens");
        positive(model.max_output_tokens, "max_output_tokens");
        positive(model.first_token_target_ms, "first_token_target_ms");
        positive(model.between_tokens_target_ms, "between_tokens_target_ms");
        positive(model.deadline_ms, "deadline_ms");
        let decode = manifest.pools.iter().find(|pool| pool.name == model.decode_pool);
        if let Some(pool) = decode {
            let max_request_blocks =
                pool.blocks_for(model.max_prompt_tokens + model.max_output_tokens);
            let field = format!("{path}.max_prompt_tokens");
            let expected = "max_prompt_tokens and max_output_tokens that together fit the blocks of one decode engine";
            self.require(max_request_blocks <= pool.blocks, &field, expected);
        }
        self.check_class(&format!("{path}.priority_class"), &model.priority_class, manifest);
    }

    fn check_pool_role(
        &mut self,
        path: &str,
        field: &str,
        name: &str,
        role: Role,
        manifest: &Manifest,
    ) {
        let found = manifest.pools.iter().any(|pool| pool.name == name && pool.role() == role);
        let expected = format!("the name of a pool of role {}", role.as_str_name());
        self.require(found, &format!("{path}.{field}"), &expected);
    }

    fn check_class(&mut self, path: &str, name: &str, manifest: &Manifest) {
        let exists = manifest.priority_classes.iter().any(|class| class.name == name);
        self.require(name.is_empty() || exists, path, "the name of a priority class");
    }

    fn check_services(&mut self, manifest: &Manifest) {
        for (index, service) in manifest.services.iter().enumerate() {
            let path = format!("services[{index}]");
            self.check_pool_role(&path, "pool", &service.pool, Role::Service, manifest);
            let field = format!("{path}.timeout_ms");
            self.require(service.timeout_ms > 0, &field, "a number above 0");
            self.check_class(&format!("{path}.priority_class"), &service.priority_class, manifest);
        }
    }

    fn check_rules(&mut self, manifest: &Manifest) {
        for (index, rule) in manifest.non_idempotent.iter().enumerate() {
            let path = format!("non_idempotent[{index}]");
            let model_is_valid = rule.model.is_empty()
                || manifest.models.iter().any(|model| model.name == rule.model);
            self.require(model_is_valid, &format!("{path}.model"), "the name of a model");
            let service_is_valid = rule.service.is_empty()
                || manifest.services.iter().any(|service| service.name == rule.service);
            self.require(service_is_valid, &format!("{path}.service"), "the name of a service");
        }
    }

    fn check_limits(&mut self, manifest: &Manifest) {
        for (index, link) in manifest.links.iter().enumerate() {
            let field = format!("links[{index}].bytes_per_s");
            self.require(link.bytes_per_s > 0, &field, "a number above 0");
        }
        for (index, account) in manifest.client_accounts.iter().enumerate() {
            let field = format!("client_accounts[{index}].weight");
            self.require(account.weight > 0, &field, "a number above 0");
        }
        let window = manifest.idempotency_window_ms;
        self.require(window > 0, "idempotency_window_ms", "a number above 0");
        let within_retention = window <= manifest.log_retention_ms;
        self.require(within_retention, "idempotency_window_ms", "at most log_retention_ms");
        self.require(manifest.drain_bound_ms > 0, "drain_bound_ms", "a number above 0");
        if let Some(policy) = &manifest.policy {
            let cap = policy.ejection_cap_percent;
            self.require(cap <= PERCENT, "policy.ejection_cap_percent", "at most 100");
        }
    }
}
