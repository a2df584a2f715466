//! Records what callers and upstreams saw, and checks the invariants: every response ends,
//! and unless it is a refusal it is complete and the request's own; a request that is
//! refused as not run neither has run nor runs later; and a non-idempotent call or an
//! idempotency key runs at most once.

use std::collections::BTreeMap;

use bamboodoor::entry::ResponsePart;
use bamboodoor::outcome::Outcome;
use bamboodoor::outcome::Refusal;

/// Number by which the simulation knows a request, whichever process handles it.
pub type RequestNumber = u64;

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    Generation,
    IdempotentCall,
    /// Call that may run at most once, with the caller's idempotency key if it gave one.
    NonIdempotentCall(Option<u64>),
}

#[derive(Debug)]
struct RequestRecord {
    kind: RequestKind,
    /// Number of tokens that reached the caller.
    tokens: u32,
    /// How the response ended: the refusal, or an inner `None` for a complete response.
    /// An outer `None` if it has not ended.
    end: Option<Option<Refusal>>,
    /// True if the caller disconnected, or its entry was killed.
    disconnected: bool,
    /// How often an upstream started to run the request.
    runs: u32,
}

/// Checks the invariants while requests run, and collects the violations.
#[derive(Debug, Default)]
pub struct Checker {
    requests: BTreeMap<RequestNumber, RequestRecord>,
    runs_by_key: BTreeMap<u64, u32>,
    violations: Vec<String>,
}

impl Checker {
    /// Records a new request.
    pub fn record_request(&mut self, number: RequestNumber, kind: RequestKind) {
        let request = RequestRecord { kind, tokens: 0, end: None, disconnected: false, runs: 0 };
        self.requests.insert(number, request);
    }

    /// Records that the caller disconnected, or that its entry was killed.
    pub fn record_disconnect(&mut self, number: RequestNumber) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.disconnected = true;
        }
    }

    /// Records that an upstream started to run the request, and a violation if it must not
    /// run again or was refused as not run.
    pub fn record_run(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.runs += 1;
        if let RequestKind::NonIdempotentCall(key) = request.kind {
            if request.runs > 1 {
                self.violations
                    .push(format!("non-idempotent call {number} ran {} times", request.runs));
            }
            if let Some(key) = key {
                *self.runs_by_key.entry(key).or_default() += 1;
            }
        }
        if let Some(Some(Some(refusal))) =
            self.requests.get(&number).map(|request| request.end.as_ref().map(Option::as_ref))
            && refusal.outcome == Outcome::NotRun
        {
            self.violations.push(format!("request {number} ran after it was refused as not run"));
        }
    }

    /// Records a part of the response, and a violation if the part is out of order or wrong.
    /// A complete response has `token_count` tokens.
    pub fn record_part(&mut self, number: RequestNumber, part: &ResponsePart, token_count: u32) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        if request.end.is_some() {
            self.violations.push(format!(
                "request {number} got a response part after the end of its response"
            ));
            return;
        }
        match part {
            ResponsePart::Token { index, text } => {
                if *index != request.tokens {
                    self.violations.push(format!(
                        "request {number}: token {index} arrived when token {} was due",
                        request.tokens
                    ));
                }
                if *text != token_text(number, *index).as_bytes() {
                    self.violations.push(format!(
                        "request {number}: token {index} belongs to another response"
                    ));
                }
                request.tokens += 1;
            }
            ResponsePart::Finished { .. } => {
                if request.tokens != token_count {
                    self.violations.push(format!(
                        "request {number}: response ended after {} of {token_count} tokens",
                        request.tokens
                    ));
                }
                request.end = Some(None);
            }
            ResponsePart::Reply(reply) => {
                if reply.body != number.to_string().as_bytes() {
                    self.violations
                        .push(format!("request {number}: the reply belongs to another call"));
                }
                request.end = Some(None);
            }
            ResponsePart::Refused(refusal) => {
                if refusal.outcome == Outcome::NotRun && request.runs > 0 {
                    self.violations.push(format!(
                        "request {number} was refused as not run, but it ran: {refusal:?}"
                    ));
                }
                request.end = Some(Some(refusal.clone()));
            }
        }
    }

    /// Requests that ended without a response though they may have run, and those whose
    /// caller disconnected or whose entry was killed.
    pub fn cut_off_requests(&self) -> Vec<String> {
        let cut_off = self.requests.iter().filter(|(_, request)| {
            let refusal = request.end.as_ref().and_then(Option::as_ref);
            request.disconnected
                || refusal.is_some_and(|refusal| refusal.outcome == Outcome::Unknown)
        });
        cut_off.map(|(number, request)| format!("request {number}: {request:?}")).collect()
    }

    /// Share of the requests that got a complete response, 0 to 1.
    pub fn complete_share(&self) -> f64 {
        let complete = self.requests.values().filter(|request| matches!(request.end, Some(None)));
        complete.count() as f64 / self.requests.len() as f64
    }

    /// All violations, once no request is in flight any more. A response that never ended
    /// counts as one, unless its caller disconnected or its entry was killed.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.violations.clone();
        for (number, request) in &self.requests {
            if request.end.is_none() && !request.disconnected {
                violations.push(format!(
                    "request {number} ({:?}): the response never ended",
                    request.kind
                ));
            }
        }
        for (key, runs) in &self.runs_by_key {
            if *runs > 1 {
                violations.push(format!("idempotency key {key} ran {runs} times"));
            }
        }
        violations
    }
}

/// Text of a token, different for every request and index.
pub fn token_text(number: RequestNumber, index: u32) -> String {
    format!("{number}/{index} ")
}
