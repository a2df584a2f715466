//! Entries in virtual time whose upstreams crash, and the store through which the entries tell
//! each other.

use std::collections::HashMap;
use std::time::Duration;

use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::fingerprint::Fingerprint;
use bamboodoor::router::poison::AgedRun;
use bamboodoor::router::poison::CrashedRun;
use bamboodoor::router::poison::RecordAge;
use bamboodoor::router::poison::Suspect;
use bamboodoor::router::poison::SuspectRecord;
use bamboodoor::router::poison::SuspectUpdate;
use bamboodoor::router::request::IncomingRequest;
use bamboodoor::router::request::PromptPartId;
use bamboodoor::router::request::RequestKey;
use bamboodoor::router::upstreams::ListedUpstream;
use bamboodoor::router::upstreams::PoolRole;

use crate::harness::DESK;
use crate::harness::ENGINES;
use crate::harness::Harness;
use crate::harness::incoming;
use crate::harness::ms;
use crate::harness::reserved;
use crate::harness::upstream;

/// Returns two prefill engines, eight decode engines and eight upstreams of the plain service.
pub fn upstreams() -> Vec<ListedUpstream> {
    let prefill = ["p1", "p2"].map(|id| upstream(id, ENGINES, PoolRole::Prefill));
    let decode = ["d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8"];
    let decode = decode.map(|id| upstream(id, ENGINES, PoolRole::Decode));
    let desk = ["s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"];
    let desk = desk.map(|id| upstream(id, DESK, PoolRole::Service));
    prefill.into_iter().chain(decode).chain(desk).collect()
}

/// Entries in virtual time that share a store.
pub struct Fleet {
    pub entries: Vec<Harness>,
    /// Number of the last request that was started.
    pub last_request: u32,
    /// Log of crashed runs, with the time of each.
    log: Vec<(Duration, CrashedRun)>,
    /// Number of runs in the log that each entry has read.
    read: Vec<usize>,
    /// Records of suspects in the store, with the time at which each was written.
    pub suspects: HashMap<Suspect, (Duration, SuspectRecord)>,
    /// Number of appends and writes.
    pub store_writes: usize,
}

/// A request in flight at an entry.
#[derive(Clone, Copy)]
pub struct InFlight {
    pub entry: usize,
    pub key: RequestKey,
}

impl Fleet {
    /// Creates entries, of which the first is the one that tries poisonous requests.
    pub fn new(entries: usize) -> Self {
        let read = vec![0; entries];
        let mut entries: Vec<Harness> = (0..entries).map(|_| Harness::new(upstreams())).collect();
        let first = &mut entries[0];
        first.router.set_tries_poisonous_until(first.now, Duration::MAX);
        Self {
            entries,
            last_request: 0,
            log: Vec::new(),
            read,
            suspects: HashMap::new(),
            store_writes: 0,
        }
    }

    /// Lets time pass at all entries.
    pub fn wait(&mut self, pause: Duration) {
        for entry in &mut self.entries {
            entry.now += pause;
        }
    }

    /// Has all entries report crashed runs and publish suspects, which the others read.
    pub fn share_reports(&mut self) {
        for index in 0..self.entries.len() {
            self.report_crashes(index);
            for update in self.entries[index].router.take_suspect_updates() {
                self.publish(update);
            }
        }
    }

    /// Appends the crashed runs of an entry, which then reads the log up to them.
    fn report_crashes(&mut self, index: usize) {
        let runs = self.entries[index].router.take_unreported_crashes();
        if runs.is_empty() {
            return;
        }
        self.store_writes += 1;
        let now = self.entries[index].now;
        self.log.extend(runs.iter().map(|run| (now, run.clone())));
        let unread = &self.log[self.read[index]..];
        let aged = |(at, run): &(Duration, CrashedRun)| AgedRun {
            run: run.clone(),
            age: now.saturating_sub(*at),
        };
        let unread = unread.iter().map(aged).collect();
        self.read[index] = self.log.len();
        let router = &mut self.entries[index].router;
        router.record_crash_reports(now, unread);
        router.publish_repeated_crashes(now, &runs);
    }

    /// Writes the record of a suspect, which all entries read at once.
    fn publish(&mut self, update: SuspectUpdate) {
        self.store_writes += 1;
        let SuspectUpdate { suspect, record } = update;
        let now = self.entries[0].now;
        for entry in &mut self.entries {
            let (suspect, record) = (suspect.clone(), record.clone());
            entry.router.record_suspect(entry.now, suspect, record, RecordAge::New);
        }
        match record {
            SuspectRecord::Harmless => self.suspects.remove(&suspect),
            record => self.suspects.insert(suspect, (now, record)),
        };
    }

    /// Has the store lose all records, as if it came back from an empty copy.
    pub fn lose_records(&mut self) {
        self.suspects.clear();
        self.log.clear();
        self.read.fill(0);
    }

    /// Replaces an entry by one that has just started and reads the store.
    pub fn restart(&mut self, index: usize) {
        let mut entry = Harness::new(upstreams());
        entry.now = self.entries[index].now;
        for (suspect, (written_at, record)) in &self.suspects {
            let mut record = record.clone();
            if let SuspectRecord::Crashed(runs) = &mut record {
                runs.iter_mut().for_each(|run| run.age += entry.now.saturating_sub(*written_at));
            }
            entry.router.record_suspect(entry.now, suspect.clone(), record, RecordAge::Any);
        }
        self.entries[index] = entry;
        self.read[index] = 0;
    }

    /// Starts a request at an entry, on `/resumable/1`, whose prompt has these shared parts.
    pub fn start(&mut self, entry: usize, parts: &[&str]) -> (InFlight, Step) {
        let shared_parts = parts.iter().map(|&part| PromptPartId(part.into())).collect();
        self.start_request(entry, IncomingRequest { shared_parts, ..incoming("/resumable/1") })
    }

    /// Starts a request at an entry with an id of its own. If it has no fingerprint, it gets one
    /// of its own as well.
    pub fn start_request(&mut self, entry: usize, request: IncomingRequest) -> (InFlight, Step) {
        self.last_request += 1;
        let id = format!("r{}", self.last_request);
        let has_fingerprint = request.fingerprint != Fingerprint::default();
        let own = Fingerprint::of(&[id.as_bytes()]);
        let fingerprint = if has_fingerprint { request.fingerprint } else { own };
        let request = IncomingRequest { id: id.into(), fingerprint, ..request };
        let (key, step) = self.entries[entry].start(request);
        (InFlight { entry, key }, step)
    }

    /// Reports the steps of a model request after its reservation was sent, until the response
    /// starts.
    pub fn respond(&mut self, request: InFlight) {
        self.report(request, reserved());
        let step = self.report(request, Event::Prefilled { handle: "handle".into() });
        assert!(matches!(step, Step::Decode { .. }), "{step:?}");
        self.report(request, Event::ResponseStarted { status: 200 });
    }

    /// Has the entry decide whether a call that exceeded its timeout is sent to another upstream as well.
    pub fn repeat_call(&mut self, request: InFlight) -> bool {
        let entry = &mut self.entries[request.entry];
        entry.router.repeat_call(entry.now, request.key)
    }

    pub fn report(&mut self, request: InFlight, event: Event) -> Step {
        self.entries[request.entry].report(request.key, event)
    }

    pub fn events(&mut self, request: InFlight, events: u32) {
        let entry = &mut self.entries[request.entry];
        for _ in 0..events {
            entry.router.record_event(entry.now, request.key);
        }
    }

    /// Has the response of a request end as complete.
    pub fn complete(&mut self, request: InFlight) {
        let entry = &mut self.entries[request.entry];
        entry.router.record_complete_response(entry.now, request.key);
        entry.router.finish(entry.now, request.key);
        self.share_reports();
    }

    pub fn finish(&mut self, request: InFlight) {
        let entry = &mut self.entries[request.entry];
        entry.router.finish(entry.now, request.key);
    }

    /// Id of the upstream that a request has last gone to.
    pub fn upstream_id(&self, request: InFlight) -> String {
        let request = self.entries[request.entry].router.request(request.key);
        request.expect("the request is in flight").upstream_id().into()
    }

    /// Lists an upstream that has crashed and started again.
    pub fn list_restarted(&mut self, id: &str) {
        let started_ms = self.entries[0].now.as_millis() as u64 + u64::from(self.last_request);
        let listed = upstreams().into_iter().find(|listed| listed.id == id);
        let restarted = ListedUpstream { started_ms, ..listed.expect("the upstream is listed") };
        for entry in &mut self.entries {
            entry.list_upstream(restarted.clone());
        }
    }

    /// Has the engine of a stream crash and start again. The caller does not wait for a retry.
    pub fn end_connection(&mut self, request: InFlight) {
        let engine_id = self.upstream_id(request);
        self.report(request, Event::UpstreamCrashed { last_event: None });
        self.finish(request);
        self.share_reports();
        self.list_restarted(&engine_id);
        self.wait(ms(1));
    }
}
