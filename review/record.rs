//! What was sent, answered and run: a list for the check, and a text file for the reader.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Events of a play, in their order.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
    events: Mutex<Vec<Event>>,
}

#[derive(Debug, Clone)]
pub struct Event {
    pub at: Duration,
    /// What happened, such as `run` or `answer`.
    pub kind: &'static str,
    /// Id of the request, or name of a process.
    pub id: String,
    pub detail: String,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { started: Instant::now(), file: Mutex::new(file), events: Mutex::default() }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn add(&self, kind: &'static str, id: &str, detail: impl Into<String>) {
        let event = Event { at: self.now(), kind, id: id.to_string(), detail: detail.into() };
        let at = event.at.as_secs_f64();
        let line = format!("{at:9.3} {kind:<10} {id} {}\n", event.detail);
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        self.events.lock().unwrap().push(event);
    }

    /// Events of one kind.
    pub fn of(&self, kind: &str) -> Vec<Event> {
        let events = self.events.lock().unwrap();
        events.iter().filter(|event| event.kind == kind).cloned().collect()
    }
}

/// Random numbers that need not be good, seeded.
pub struct Random(Mutex<u64>);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(Mutex::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1))
    }

    /// A number from 0 to below 1.
    pub fn unit(&self) -> f64 {
        let mut state = self.0.lock().unwrap();
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        (*state >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn id(&self) -> String {
        format!("{:08x}{:08x}", (self.unit() * 4e9) as u64, (self.unit() * 4e9) as u64)
    }
}
