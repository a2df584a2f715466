//! Small fakes of an engine and a service: results, streams, records.

use std::collections::BTreeMap;

use bamboodoor::agent::RunningStream;
use bamboodoor::agent::UpstreamEvent;
use bamboodoor::schema::wire::AttemptId;

use crate::simulation::checker::Number;
use crate::simulation::checker::token_text;

#[derive(Debug, Clone, Copy)]
struct Stream {
    number: Number,
    next: u32,
    end: u32,
    read: bool,
}

/// An engine, which outlives the agent beside it.
#[derive(Debug, Default)]
pub struct Engine {
    results: BTreeMap<String, Number>,
    handles: BTreeMap<AttemptKey, String>,
    imported: BTreeMap<AttemptKey, Number>,
    streams: BTreeMap<AttemptKey, Stream>,
}

type AttemptKey = (u64, u64, u32);

fn key(id: AttemptId) -> AttemptKey {
    (id.entry, id.request, id.attempt)
}

fn id(key: AttemptKey) -> AttemptId {
    AttemptId { entry: key.0, request: key.1, attempt: key.2 }
}

impl Engine {
    pub fn prefill(&mut self, id: AttemptId, number: Number) -> String {
        let handle = format!("{:?}", key(id));
        self.results.insert(handle.clone(), number);
        self.handles.insert(key(id), handle.clone());
        handle
    }

    pub fn result(&self, handle: &str) -> Option<Number> {
        self.results.get(handle).copied()
    }

    pub fn import(&mut self, id: AttemptId, number: Number) {
        self.imported.insert(key(id), number);
    }

    /// Starts a stream, or goes on with one at an index. False if unknown.
    pub fn decode(&mut self, id: AttemptId, from: u32, end: u32) -> bool {
        if let Some(number) = self.imported.remove(&key(id)) {
            self.streams.insert(key(id), Stream { number, next: from, end, read: true });
            return true;
        }
        let Some(stream) = self.streams.get_mut(&key(id)) else { return false };
        stream.next = from;
        stream.read = true;
        true
    }

    /// Gives the next token of every stream that is read.
    pub fn step(&mut self) -> Vec<UpstreamEvent> {
        let mut events = Vec::new();
        for (&key, stream) in self.streams.iter_mut().filter(|(_, stream)| stream.read) {
            let index = stream.next;
            stream.next += 1;
            events.push(UpstreamEvent::Chunk {
                id: id(key),
                index,
                text: token_text(stream.number, index).into(),
                last: stream.next == stream.end,
                finish_reason: if stream.next == stream.end {
                    "stop".to_string()
                } else {
                    String::new()
                },
            });
        }
        self.streams.retain(|_, stream| stream.next < stream.end);
        events
    }

    /// Breaks off the connection that carries a stream; the stream runs on.
    pub fn cut_a_stream(&mut self) -> Option<AttemptId> {
        let (&key, stream) = self.streams.iter_mut().find(|(_, stream)| stream.read)?;
        stream.read = false;
        Some(id(key))
    }

    /// The agent beside the engine is gone: nobody reads any more.
    pub fn lose_readers(&mut self) {
        self.streams.values_mut().for_each(|stream| stream.read = false);
    }

    pub fn stop(&mut self, id: AttemptId) {
        self.streams.remove(&key(id));
        self.imported.remove(&key(id));
        if let Some(handle) = self.handles.remove(&key(id)) {
            self.results.remove(&handle);
        }
    }

    /// Prefill results are evicted by themselves.
    pub fn evict(&mut self) {
        self.results.clear();
        self.handles.clear();
    }

    pub fn running(&self) -> Vec<RunningStream> {
        let held = self.streams.keys().chain(self.imported.keys());
        held.map(|&key| RunningStream { id: id(key), blocks: 1 }).collect()
    }
}
