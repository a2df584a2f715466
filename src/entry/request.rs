//! What the entry remembers of a request in flight.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use slotmap::new_key_type;

use crate::clock::from_ms;
use crate::entry::attempt_id;
use crate::manifest::Snapshot;
use crate::outcome::Outcome;
use crate::policy::view::AgentKey;
use crate::schema::wire;
use crate::schema::wire::AttemptId;

new_key_type! {
    /// Names a request within one entry.
    pub struct RequestKey;
}

/// A request as the caller sent it.
#[derive(Debug, Clone)]
pub struct IncomingRequest {
    /// The caller's name for it, or a minted one.
    pub request_id: CompactString,
    /// Client account it is billed to.
    pub account: CompactString,
    /// What is wanted.
    pub work: IncomingWork,
}

/// What a caller wants.
#[derive(Debug, Clone)]
pub enum IncomingWork {
    /// A generated answer.
    Generate(IncomingGeneration),
    /// A call to a plain service.
    Call(IncomingCall),
}

/// A request for a generated answer.
#[derive(Debug, Clone, Default)]
pub struct IncomingGeneration {
    /// Name of the model.
    pub model: CompactString,
    /// The prompt.
    pub prompt: Bytes,
    /// Its length in tokens.
    pub prompt_tokens: u32,
    /// Chain of prefix hashes, shortest first.
    pub prefixes: Vec<u64>,
    /// Most tokens wanted.
    pub max_tokens: u32,
}

/// A call to a plain service.
#[derive(Debug, Clone, Default)]
pub struct IncomingCall {
    /// Name of the service.
    pub service: CompactString,
    /// HTTP method.
    pub method: CompactString,
    /// Path and query below the service.
    pub path: String,
    /// Headers that are passed on.
    pub headers: Vec<wire::Header>,
    /// Body.
    pub body: Bytes,
    /// The caller's idempotency key.
    pub idempotency_key: Option<CompactString>,
}

/// A request in flight.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) request_id: CompactString,
    pub(super) account: CompactString,
    pub(super) snapshot: Option<Arc<Snapshot>>,
    pub(super) arrived: Duration,
    pub(super) deadline: Duration,
    pub(super) timer: Option<Duration>,
    /// Number of the newest try.
    pub(super) attempt: u32,
    /// Tries that counted against the retry budget.
    pub(super) retries: u32,
    /// True once work was sent that was not rejected.
    pub(super) may_have_run: bool,
    /// The same before the newest work was sent, for when that is rejected.
    pub(super) had_run_before: bool,
    pub(super) work: Work,
}

#[derive(Debug)]
pub(super) enum Work {
    Generate(Box<Generate>),
    Call(Box<Call>),
}

/// Where a generated answer stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// A decode agent was asked for a slot.
    Reserving,
    /// Slots are promised; the first that is free is taken.
    Waiting,
    /// A prefill agent has the prompt.
    Prefilling,
    /// The decode agent has the order, the KV cache is on its way.
    Transferring,
    /// Tokens come.
    Decoding,
    /// The connection to the decode agent is lost; it may come back.
    Resuming,
}

/// A try at one agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Try {
    pub(super) agent: AgentKey,
    pub(super) attempt: u32,
}

/// The result of a prefill, before it was fetched.
#[derive(Debug, Clone)]
pub(super) struct PrefillResult {
    pub(super) handle: String,
    pub(super) kv_bytes: u64,
    pub(super) lives_until: Duration,
}

#[derive(Debug)]
pub(super) struct Generate {
    pub(super) model: CompactString,
    pub(super) prompt: Bytes,
    pub(super) prompt_tokens: u32,
    pub(super) prefixes: Vec<u64>,
    pub(super) max_tokens: u32,
    pub(super) idempotent: bool,
    pub(super) rank: u32,
    pub(super) phase: Phase,
    /// Slots that were asked for; the first that is free is taken.
    pub(super) tied: Vec<Try>,
    /// The slot that was taken.
    pub(super) decode: Option<Try>,
    pub(super) prefill: Option<Try>,
    pub(super) result: Option<PrefillResult>,
    pub(super) alternate: Option<AgentKey>,
    pub(super) tried_decode: Vec<AgentKey>,
    pub(super) tried_prefill: Vec<AgentKey>,
    pub(super) slot_at: Duration,
    pub(super) target: Duration,
    /// Index of the token that the caller gets next.
    pub(super) next_index: u32,
    /// Text given to the caller, to continue elsewhere from.
    pub(super) text: Vec<u8>,
    pub(super) last_token_at: Duration,
}

impl Generate {
    /// Tokens to prefill: the prompt and what was already given out.
    pub(super) fn tokens_to_prefill(&self) -> u32 {
        self.prompt_tokens + self.next_index
    }
}

/// Where a call stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallPhase {
    /// The claim is on its way through the log.
    Claiming,
    /// The agent of another claim is asked to fence it.
    FencingOther {
        /// Offset of that claim.
        offset: u64,
    },
    /// The agent has the call.
    Sent,
    /// The agent was asked to abandon the call.
    Abandoning,
    /// The connection to the agent is lost; it may come back.
    Resuming,
}

#[derive(Debug)]
pub(super) struct Call {
    pub(super) arrival: IncomingCall,
    pub(super) pool: CompactString,
    pub(super) idempotent: bool,
    pub(super) rank: u32,
    pub(super) timeout: Duration,
    pub(super) key: Option<crate::entry::claims::ClaimKey>,
    pub(super) phase: CallPhase,
    pub(super) sent: Option<Try>,
    pub(super) incarnation: u64,
    pub(super) tried: Vec<AgentKey>,
    pub(super) other: Option<AttemptId>,
}

impl Request {
    pub(super) fn new(
        now: Duration,
        arrival: IncomingRequest,
        snapshot: Option<Arc<Snapshot>>,
    ) -> Self {
        let snapshot_ref = snapshot.as_deref();
        let (work, limit) = match arrival.work {
            IncomingWork::Generate(generate) => new_generate(snapshot_ref, generate),
            IncomingWork::Call(call) => new_call(snapshot_ref, call),
        };
        Self {
            request_id: arrival.request_id,
            account: arrival.account,
            snapshot,
            arrived: now,
            deadline: now + limit,
            timer: None,
            attempt: 0,
            retries: 0,
            may_have_run: false,
            had_run_before: false,
            work,
        }
    }

    /// The manifest that the request follows. Only called once it started.
    pub(super) fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.clone().expect("a request starts only with a manifest")
    }

    pub(super) fn outcome(&self) -> Outcome {
        if self.may_have_run { Outcome::Unknown } else { Outcome::NotRun }
    }

    pub(super) fn next_attempt(&mut self) -> u32 {
        self.attempt += 1;
        self.attempt
    }

    /// Work is sent: from now on it may have run.
    pub(super) fn work_sent(&mut self) {
        self.had_run_before = self.may_have_run;
        self.may_have_run = true;
    }

    /// The work that was sent last did not run.
    pub(super) fn work_rejected(&mut self) {
        self.may_have_run = self.had_run_before;
    }

    /// Tries that agents may still hold something for.
    pub(super) fn open_tries(&self, entry: u64, key: RequestKey) -> Vec<(AgentKey, AttemptId)> {
        let named = |one: Try| (one.agent, attempt_id(entry, key, one.attempt));
        match &self.work {
            Work::Generate(generate) => {
                let tied = generate.tied.iter().copied();
                tied.chain(generate.decode).chain(generate.prefill).map(named).collect()
            }
            Work::Call(call) => call.sent.into_iter().map(named).collect(),
        }
    }
}

fn new_generate(snapshot: Option<&Snapshot>, arrival: IncomingGeneration) -> (Work, Duration) {
    let model = snapshot.and_then(|snapshot| snapshot.model(&arrival.model));
    let rule = snapshot.and_then(|snapshot| snapshot.non_idempotent_model(&arrival.model));
    let rank = snapshot.zip(model).map(|(snapshot, model)| snapshot.rank(&model.priority_class));
    let limit = from_ms(model.map_or(0, |model| model.deadline_ms));
    let target = from_ms(model.map_or(0, |model| model.first_token_target_ms));
    let generate = Generate {
        max_tokens: arrival.max_tokens,
        model: arrival.model,
        prompt: arrival.prompt,
        prompt_tokens: arrival.prompt_tokens,
        prefixes: arrival.prefixes,
        idempotent: rule.is_none(),
        rank: rank.unwrap_or(crate::manifest::DEFAULT_RANK),
        phase: Phase::Reserving,
        tied: Vec::new(),
        decode: None,
        prefill: None,
        result: None,
        alternate: None,
        tried_decode: Vec::new(),
        tried_prefill: Vec::new(),
        slot_at: Duration::ZERO,
        target,
        next_index: 0,
        text: Vec::new(),
        last_token_at: Duration::ZERO,
    };
    (Work::Generate(Box::new(generate)), limit)
}

fn new_call(snapshot: Option<&Snapshot>, arrival: IncomingCall) -> (Work, Duration) {
    let service = snapshot.and_then(|snapshot| snapshot.service(&arrival.service));
    let rule = snapshot.and_then(|snapshot| {
        snapshot.non_idempotent_call(&arrival.service, &arrival.method, &arrival.path)
    });
    let rank =
        snapshot.zip(service).map(|(snapshot, service)| snapshot.rank(&service.priority_class));
    let timeout = from_ms(service.map_or(0, |service| service.timeout_ms));
    let call = Call {
        pool: service.map(|service| service.pool.as_str().into()).unwrap_or_default(),
        idempotent: rule.is_none(),
        rank: rank.unwrap_or(crate::manifest::DEFAULT_RANK),
        timeout,
        key: None,
        phase: CallPhase::Claiming,
        sent: None,
        incarnation: 0,
        tried: Vec::new(),
        other: None,
        arrival,
    };
    // The whole call may take its timeout for each of a few tries.
    (Work::Call(Box::new(call)), timeout * CALL_DEADLINE_FACTOR)
}

const CALL_DEADLINE_FACTOR: u32 = 3;
