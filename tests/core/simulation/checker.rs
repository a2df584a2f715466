//! What callers and upstreams saw, and whether what must always hold holds.

use std::collections::BTreeMap;

use bamboodoor::entry::ResponsePart;
use bamboodoor::outcome::Outcome;
use bamboodoor::outcome::Refusal;

/// Number of a request, the same at every process.
pub type Number = u64;

/// What a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Draft,
    Lookup,
    /// A booking; the number is the caller's key, if it gave one.
    Booking(Option<u64>),
}

#[derive(Debug)]
struct Seen {
    kind: Kind,
    tokens: u32,
    end: Option<Option<Refusal>>,
    abandoned: bool,
    runs: u32,
}

/// Collects what was seen.
#[derive(Debug, Default)]
pub struct Judge {
    seen: BTreeMap<Number, Seen>,
    runs_by_key: BTreeMap<u64, u32>,
    broken: Vec<String>,
}

impl Judge {
    pub fn arrived(&mut self, number: Number, kind: Kind) {
        let seen = Seen { kind, tokens: 0, end: None, abandoned: false, runs: 0 };
        self.seen.insert(number, seen);
    }

    /// The caller hung up, or its entry was killed.
    pub fn abandoned(&mut self, number: Number) {
        if let Some(seen) = self.seen.get_mut(&number) {
            seen.abandoned = true;
        }
    }

    /// An upstream ran the request, or began to.
    pub fn ran(&mut self, number: Number) {
        let Some(seen) = self.seen.get_mut(&number) else { return };
        seen.runs += 1;
        if let Kind::Booking(key) = seen.kind {
            if seen.runs > 1 {
                self.broken.push(format!("booking {number} ran {} times", seen.runs));
            }
            if let Some(key) = key {
                *self.runs_by_key.entry(key).or_default() += 1;
            }
        }
        if let Some(Some(Some(refusal))) =
            self.seen.get(&number).map(|seen| seen.end.as_ref().map(Option::as_ref))
            && refusal.outcome == Outcome::NotRun
        {
            self.broken.push(format!("{number} ran after it was refused as not run"));
        }
    }

    pub fn answered(&mut self, number: Number, answer: &ResponsePart, expected_tokens: u32) {
        let Some(seen) = self.seen.get_mut(&number) else { return };
        if seen.end.is_some() {
            self.broken.push(format!("{number} was answered after its end"));
            return;
        }
        match answer {
            ResponsePart::Token { index, text } => {
                if *index != seen.tokens {
                    self.broken.push(format!("{number}: token {index} after {}", seen.tokens));
                }
                if *text != token_text(number, *index).as_bytes() {
                    self.broken.push(format!("{number}: token {index} is of another answer"));
                }
                seen.tokens += 1;
            }
            ResponsePart::Finished { .. } => {
                if seen.tokens != expected_tokens {
                    self.broken
                        .push(format!("{number}: {} tokens of {expected_tokens}", seen.tokens));
                }
                seen.end = Some(None);
            }
            ResponsePart::Reply(reply) => {
                if reply.body != number.to_string().as_bytes() {
                    self.broken.push(format!("{number}: the reply is of another call"));
                }
                seen.end = Some(None);
            }
            ResponsePart::Refused(refusal) => {
                if refusal.outcome == Outcome::NotRun && seen.runs > 0 {
                    self.broken
                        .push(format!("{number} was refused as not run, but it ran: {refusal:?}"));
                }
                seen.end = Some(Some(refusal.clone()));
            }
        }
    }

    /// Requests that ended without their answer though they may have run, and
    /// those whose entry was gone.
    pub fn cut_off(&self) -> Vec<String> {
        let cut = self.seen.iter().filter(|(_, seen)| {
            let refusal = seen.end.as_ref().and_then(Option::as_ref);
            seen.abandoned || refusal.is_some_and(|refusal| refusal.outcome == Outcome::Unknown)
        });
        cut.map(|(number, seen)| format!("{number}: {seen:?}")).collect()
    }

    /// Share of the requests that were answered whole.
    pub fn whole_share(&self) -> f64 {
        let whole = self.seen.values().filter(|seen| matches!(seen.end, Some(None)));
        whole.count() as f64 / self.seen.len() as f64
    }

    /// Everything that does not hold, once all has settled.
    pub fn broken(&self) -> Vec<String> {
        let mut broken = self.broken.clone();
        for (number, seen) in &self.seen {
            if seen.end.is_none() && !seen.abandoned {
                broken.push(format!("{number} ({:?}) has no answer", seen.kind));
            }
        }
        for (key, runs) in &self.runs_by_key {
            if *runs > 1 {
                broken.push(format!("key {key} ran {runs} times"));
            }
        }
        broken
    }
}

/// The text of a token, told apart from that of every other answer.
pub fn token_text(number: Number, index: u32) -> String {
    format!("{number}/{index} ")
}
