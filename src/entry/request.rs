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
    pub(super) received_at: Duration,
    pub(super) deadline: Duration,
    pub(super) timer: Option<Duration>,
    /// Number of the newest try.
    pub(super) attempt: u32,
    /// Tries that counted against the retry budget.
    pub(super) retries: u32,
    /// True once work was sent that was not rejected.
    pub(super) may_have_run: bool,
    /// The same before the newest work was sent, for when that is rejected.
    pub(super) may_have_run_before: bool,
    pub(super) work: Work,
}

#[derive(Debug)]
pub(super) enum Work {
    Generate(Box<Generate>),
    Call(Box<Call>),
}

/// Where a generated answer stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GeneratePhase {
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
pub(super) struct Attempt {
    pub(super) agent: AgentKey,
    pub(super) number: u32,
}

/// The result of a prefill, before it was fetched.
#[derive(Debug, Clone)]
pub(super) struct PrefillResult {
    pub(super) handle: String,
    pub(super) kv_bytes: u64,
    pub(super) expires_at: Duration,
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
    pub(super) phase: GeneratePhase,
    /// Slots that were asked for; the first that is free is taken.
    pub(super) pending_reservations: Vec<Attempt>,
    /// The slot that was taken.
    pub(super) decode_attempt: Option<Attempt>,
    pub(super) prefill_attempt: Option<Attempt>,
    pub(super) prefill_result: Option<PrefillResult>,
    pub(super) alternate_agent: Option<AgentKey>,
    pub(super) excluded_decode: Vec<AgentKey>,
    pub(super) excluded_prefill: Vec<AgentKey>,
    pub(super) slot_free_at: Duration,
    pub(super) first_token_target: Duration,
    /// Index of the token that the caller gets next.
    pub(super) next_index: u32,
    /// Text given to the caller, to continue elsewhere from.
    pub(super) output_text: Vec<u8>,
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
    FencingOwner {
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
    pub(super) incoming: IncomingCall,
    pub(super) pool: CompactString,
    pub(super) idempotent: bool,
    pub(super) rank: u32,
    pub(super) timeout: Duration,
    pub(super) claim_key: Option<crate::entry::claims::ClaimKey>,
    pub(super) phase: CallPhase,
    pub(super) sent_attempt: Option<Attempt>,
    pub(super) agent_incarnation: u64,
    pub(super) excluded: Vec<AgentKey>,
    pub(super) owner_attempt: Option<AttemptId>,
}

impl Request {
    pub(super) fn new(
        now: Duration,
        incoming: IncomingRequest,
        snapshot: Option<Arc<Snapshot>>,
    ) -> Self {
        let snapshot_ref = snapshot.as_deref();
        let (work, time_limit) = match incoming.work {
            IncomingWork::Generate(generate) => new_generate(snapshot_ref, generate),
            IncomingWork::Call(call) => new_call(snapshot_ref, call),
        };
        Self {
            request_id: incoming.request_id,
            account: incoming.account,
            snapshot,
            received_at: now,
            deadline: now + time_limit,
            timer: None,
            attempt: 0,
            retries: 0,
            may_have_run: false,
            may_have_run_before: false,
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
    pub(super) fn mark_work_sent(&mut self) {
        self.may_have_run_before = self.may_have_run;
        self.may_have_run = true;
    }

    /// The work that was sent last did not run.
    pub(super) fn mark_work_not_run(&mut self) {
        self.may_have_run = self.may_have_run_before;
    }

    /// Tries that agents may still hold something for.
    pub(super) fn open_attempts(&self, entry: u64, key: RequestKey) -> Vec<(AgentKey, AttemptId)> {
        let named = |attempt: Attempt| (attempt.agent, attempt_id(entry, key, attempt.number));
        match &self.work {
            Work::Generate(generate) => {
                let pending_reservations = generate.pending_reservations.iter().copied();
                pending_reservations
                    .chain(generate.decode_attempt)
                    .chain(generate.prefill_attempt)
                    .map(named)
                    .collect()
            }
            Work::Call(call) => call.sent_attempt.into_iter().map(named).collect(),
        }
    }
}

fn new_generate(snapshot: Option<&Snapshot>, incoming: IncomingGeneration) -> (Work, Duration) {
    let model = snapshot.and_then(|snapshot| snapshot.model(&incoming.model));
    let rule = snapshot.and_then(|snapshot| snapshot.non_idempotent_model(&incoming.model));
    let rank = snapshot.zip(model).map(|(snapshot, model)| snapshot.rank(&model.priority_class));
    let time_limit = from_ms(model.map_or(0, |model| model.deadline_ms));
    let first_token_target = from_ms(model.map_or(0, |model| model.first_token_target_ms));
    let generate = Generate {
        max_tokens: incoming.max_tokens,
        model: incoming.model,
        prompt: incoming.prompt,
        prompt_tokens: incoming.prompt_tokens,
        prefixes: incoming.prefixes,
        idempotent: rule.is_none(),
        rank: rank.unwrap_or(crate::manifest::DEFAULT_RANK),
        phase: GeneratePhase::Reserving,
        pending_reservations: Vec::new(),
        decode_attempt: None,
        prefill_attempt: None,
        prefill_result: None,
        alternate_agent: None,
        excluded_decode: Vec::new(),
        excluded_prefill: Vec::new(),
        slot_free_at: Duration::ZERO,
        first_token_target,
        next_index: 0,
        output_text: Vec::new(),
        last_token_at: Duration::ZERO,
    };
    (Work::Generate(Box::new(generate)), time_limit)
}

fn new_call(snapshot: Option<&Snapshot>, incoming: IncomingCall) -> (Work, Duration) {
    let service = snapshot.and_then(|snapshot| snapshot.service(&incoming.service));
    let rule = snapshot.and_then(|snapshot| {
        snapshot.non_idempotent_call(&incoming.service, &incoming.method, &incoming.path)
    });
    let rank =
        snapshot.zip(service).map(|(snapshot, service)| snapshot.rank(&service.priority_class));
    let timeout = from_ms(service.map_or(0, |service| service.timeout_ms));
    let call = Call {
        pool: service.map(|service| service.pool.as_str().into()).unwrap_or_default(),
        idempotent: rule.is_none(),
        rank: rank.unwrap_or(crate::manifest::DEFAULT_RANK),
        timeout,
        claim_key: None,
        phase: CallPhase::Claiming,
        sent_attempt: None,
        agent_incarnation: 0,
        excluded: Vec::new(),
        owner_attempt: None,
        incoming,
    };
    // The whole call may take its timeout for each of a few tries.
    (Work::Call(Box::new(call)), timeout * CALL_DEADLINE_FACTOR)
}

const CALL_DEADLINE_FACTOR: u32 = 3;
