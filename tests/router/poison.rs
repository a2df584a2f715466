//! Parts of prompts that crash engines.

use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::request::IncomingRequest;
use bamboodoor::router::request::PromptPartId;
use bamboodoor::router::request::RequestKey;
use bamboodoor::router::upstreams::ListedUpstream;
use bamboodoor::router::upstreams::PoolRole;

use crate::harness::ENGINES;
use crate::harness::Harness;
use crate::harness::incoming;
use crate::harness::ms;
use crate::harness::reserved;
use crate::harness::upstream;

/// Part that all prompts begin with.
const COMMON: &str = "c0";
/// Part that crashes engines.
const POISON: &str = "d0";

/// Returns two prefill engines and eight decode engines.
fn engines() -> Vec<ListedUpstream> {
    let prefill = ["p1", "p2"].map(|id| upstream(id, ENGINES, PoolRole::Prefill));
    let decode = ["d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8"];
    let decode = decode.map(|id| upstream(id, ENGINES, PoolRole::Decode));
    prefill.into_iter().chain(decode).collect()
}

/// Entries with virtual time, and a number for the next request.
struct Fleet {
    entry: Harness,
    next_request: u32,
}

impl Fleet {
    fn new() -> Self {
        Self { entry: Harness::new(engines()), next_request: 0 }
    }

    /// Starts a request on `/stream/1` whose prompt has these shared parts.
    fn start(&mut self, parts: &[&str]) -> (RequestKey, Step) {
        self.next_request += 1;
        let id = format!("r{}", self.next_request).into();
        let shared_parts = parts.iter().map(|&part| PromptPartId(part.into())).collect();
        self.entry.now += ms(100);
        self.entry.start(IncomingRequest { id, shared_parts, ..incoming("/stream/1") })
    }

    /// Starts a request and reports its steps until the response starts. Returns its key, or
    /// `None` if it was refused.
    fn run(&mut self, parts: &[&str]) -> Option<RequestKey> {
        let (key, step) = self.start(parts);
        if matches!(step, Step::Refuse(_)) {
            self.entry.router.finish(key);
            return None;
        }
        self.entry.report(key, reserved());
        let step = self.entry.report(key, Event::Prefilled { handle: "handle".into() });
        assert!(matches!(step, Step::Decode { .. }), "{step:?}");
        self.entry.report(key, Event::ResponseStarted { status: 200 });
        Some(key)
    }

    /// Runs a request whose engine crashes when it begins to generate. Returns false if the
    /// request was refused.
    fn crash(&mut self, parts: &[&str]) -> bool {
        let Some(key) = self.run(parts) else { return false };
        self.entry.report(key, Event::ResponseInterrupted { last_event: None });
        self.entry.router.finish(key);
        true
    }
}

#[test]
fn requests_with_a_part_that_crashes_engines_are_refused_after_five_crashes() {
    let mut fleet = Fleet::new();
    let sent = (0..20).filter(|_| fleet.crash(&[COMMON, POISON])).count();
    assert!(sent <= 5, "{sent} requests were sent");
}
