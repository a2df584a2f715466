//! Faults that a replica shows only to requests that an entry has moved to it: they have
//! `Last-Event-Id`, and their caller takes up no stream itself (`Resumes`).

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Time after which a late rejection is sent.
pub const LATE_REJECTION_TIME: Duration = Duration::from_millis(350);
/// Number of events after which a run breaks off.
pub const EVENTS_BEFORE_BREAK: u64 = 2;

/// How a moved request fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplacementFault {
    /// Rejected as not executed after [`LATE_REJECTION_TIME`].
    RejectLate,
    /// Executed, but answered with status 500.
    ServerError,
    /// Executed, but its connection breaks without a response.
    LoseResponse,
    /// Executed, and answered with a complete body that is no stream.
    NoStream,
    /// Breaks off after [`EVENTS_BEFORE_BREAK`] events.
    BreakOff,
}

const FAULTS: [ReplacementFault; 5] = [
    ReplacementFault::RejectLate,
    ReplacementFault::BreakOff,
    ReplacementFault::ServerError,
    ReplacementFault::LoseResponse,
    ReplacementFault::NoStream,
];

/// Faults of moved requests, initially none.
#[derive(Debug, Default)]
pub struct ReplacementFaults {
    one_in: AtomicU64,
    requests: AtomicU64,
    /// Ids of the requests that failed so, with the time at which they had arrived.
    failed: Mutex<Vec<(String, Instant)>>,
}

impl ReplacementFaults {
    /// Fails one in this many moved requests, each in the next way from the one with the number
    /// `first_fault` on, modulo their number; 0 fails none.
    pub fn set_one_in(&self, one_in: u64, first_fault: u64) {
        self.one_in.store(one_in, Ordering::SeqCst);
        self.requests.store(one_in * first_fault, Ordering::SeqCst);
    }

    /// Fault of the next moved request; `None` if it is served.
    pub(crate) fn next(&self, id: &str, received_at: Instant) -> Option<ReplacementFault> {
        let one_in = self.one_in.load(Ordering::SeqCst);
        if one_in == 0 {
            return None;
        }
        let number = self.requests.fetch_add(1, Ordering::SeqCst);
        if !number.is_multiple_of(one_in) {
            return None;
        }
        let mut failed = self.failed.lock().expect("the mutex is not poisoned");
        failed.push((id.to_string(), received_at));
        Some(FAULTS[(number / one_in) as usize % FAULTS.len()])
    }

    /// True if the run that the request began at `received_at` failed so.
    pub fn has_failed(&self, id: &str, received_at: Instant) -> bool {
        let failed = self.failed.lock().expect("the mutex is not poisoned");
        failed.iter().any(|(failed, at)| failed == id && *at == received_at)
    }
}
