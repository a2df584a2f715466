//! Builds entry cores, manifests and messages of given sizes for the measurements.

use std::time::Duration;

use bamboodoor::entry::EntryAction;
use bamboodoor::entry::EntryConfig;
use bamboodoor::entry::EntryCore;
use bamboodoor::entry::request::IncomingGeneration;
use bamboodoor::entry::request::IncomingRequest;
use bamboodoor::entry::request::IncomingWork;
use bamboodoor::manifest::fold::publish_record;
use bamboodoor::policy::agents::AgentKey;
use bamboodoor::schema::wire;
use bamboodoor::schema::wire::AttemptId;
use bamboodoor::schema::wire::to_agent::Kind as ToAgent;

/// Current time that the measured cores are given.
pub const NOW: Duration = Duration::from_secs(10);

/// Returns the text of a manifest with the given numbers of models and client
/// accounts, nine zones and a link from every zone to every zone.
pub fn manifest(models: usize, accounts: usize) -> String {
    let model = |number: usize| {
        format!(
            r#"{{ "name": "model-{number}", "prefill_pool": "prefill-{number}", "decode_pool": "decode-{number}",
            "max_prompt_tokens": 32000, "max_output_tokens": 2048, "kv_bytes_per_token": 131072,
            "first_token_target_ms": 1000, "between_tokens_target_ms": 52, "deadline_ms": 60000 }}"#
        )
    };
    let pools = |number: usize| {
        format!(
            r#"{{ "name": "prefill-{number}", "role": "PREFILL", "replicas": 25, "prefill_tokens_per_s": 20000, "kv_eviction_ms": 800 }},
            {{ "name": "decode-{number}", "role": "DECODE", "replicas": 50, "blocks": 4000, "block_tokens": 16,
            "max_streams": 20, "step_base_us": 20000, "step_per_stream_us": 1000, "entries_per_agent": 27 }}"#
        )
    };
    let account = |number: usize| {
        format!(r#"{{ "name": "account-{number:04}", "weight": {} }}"#, 1 + number % 5)
    };
    let zones: Vec<String> = (0..9).map(|zone| format!("zone-{zone}")).collect();
    let link = |from: &String| {
        let to = zones.iter().map(|to| {
            format!(r#"{{ "from_zone": "{from}", "to_zone": "{to}", "bytes_per_s": 50000000000 }}"#)
        });
        to.collect::<Vec<_>>().join(",")
    };
    let list = |items: Vec<String>| items.join(",\n");
    format!(
        r#"{{ "name": "target", "models": [{}], "pools": [{}], "links": [{}], "client_accounts": [{}],
        "idempotency_window_ms": 3600000, "drain_bound_ms": 120000, "log_retention_ms": 86400000 }}"#,
        list((0..models).map(model).collect()),
        list((0..models).map(pools).collect()),
        list(zones.iter().map(link).collect()),
        list((0..accounts).map(account).collect()),
    )
}

/// Entry core with a manifest in force and connected agents, half of them prefill agents.
pub struct Entry {
    pub core: EntryCore,
    pub agents: Vec<AgentKey>,
    pub out: Vec<EntryAction>,
}

/// Returns a load report that differs between agents.
pub fn load(number: usize) -> wire::Load {
    wire::Load {
        free_blocks: 1_000 + number as u32,
        total_blocks: 4_000,
        streams: 12,
        stream_limit: 20,
        waiting: 0,
        wait_ms: 120,
        queued_prefill_tokens: 3_000 + 10 * number as u64,
        prefill_tokens_per_s: 20_000,
        step_us: 38_000,
        calls: 0,
        at_ms: 123_456_789,
    }
}

/// Returns the first message of an agent; even numbers are prefill agents.
pub fn hello(number: usize) -> wire::AgentHello {
    let pool = if number.is_multiple_of(2) { "prefill-0" } else { "decode-0" };
    wire::AgentHello {
        incarnation: 1_764_790_000_000_000 + number as u64,
        name: format!("{pool}-{number:03}"),
        pool: pool.to_string(),
        region: format!("region-{}", number % 3),
        zone: format!("zone-{}", number % 9),
        upstream: format!("10.0.{}.{}:9000", number / 250, number % 250),
        generation: 1,
        leaving: false,
        load: Some(load(number)),
    }
}

impl Entry {
    /// Creates an entry that is connected to `agents` agents.
    pub fn new(agents: usize) -> Self {
        let mut core = EntryCore::new(EntryConfig::default());
        let mut out = Vec::new();
        let record = publish_record("capacity", "capacity", 0, &manifest(1, 600));
        let text =
            serde_json::to_string(&record).expect("a manifest record can be serialized as JSON");
        core.on_manifest_start(0);
        core.on_manifest_record(NOW, 0, Duration::ZERO, &text, &mut out);
        let agents =
            (0..agents).map(|number| core.agent_connected(NOW, &hello(number), &mut out)).collect();
        out.clear();
        Self { core, agents, out }
    }

    /// Accepts a generation request. Returns the agent and attempt of the reservation
    /// that the entry asks for, or `None` if it does not ask.
    pub fn accept_request(&mut self, number: usize) -> Option<(AgentKey, AttemptId)> {
        let incoming = IncomingRequest {
            request_id: format!("{number:032x}").into(),
            account: format!("account-{:04}", number % 600).into(),
            work: IncomingWork::Generate(IncomingGeneration {
                model: "model-0".into(),
                prompt: vec![b'x'; 8_000].into(),
                prompt_tokens: 2_000,
                prefixes: (0..7).map(|chunk| (number as u64) << 8 | chunk).collect(),
                max_tokens: 400,
            }),
        };
        self.core.on_request(NOW, incoming, &mut self.out);
        let reserved = self.out.iter().find_map(|action| match action {
            EntryAction::Send { agent, message: ToAgent::Reserve(reserve) } => {
                Some((*agent, reserve.id?))
            }
            _ => None,
        });
        self.out.clear();
        reserved
    }
}
