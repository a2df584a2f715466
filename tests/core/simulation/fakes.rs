//! Fake inference engine, which holds prefill results, imported KV caches and streams. A
//! transfer between two engines is simulated outside of it.

use std::collections::BTreeMap;

use bamboodoor::agent::RunningStream;
use bamboodoor::agent::UpstreamEvent;
use bamboodoor::schema::wire::AttemptId;

use crate::simulation::checker::RequestNumber;
use crate::simulation::checker::token_text;

#[derive(Debug, Clone, Copy)]
struct Stream {
    number: RequestNumber,
    /// Index of the next token.
    next_index: u32,
    /// Index at which the stream ends, one above that of its last token.
    end_index: u32,
    /// True while a connection carries the tokens; without one the engine waits.
    has_reader: bool,
}

/// Fake engine. When the agent beside it is killed or replaced, it keeps the streams and
/// the imported KV caches; the simulation closes the connections of the streams and evicts
/// the prefill results.
#[derive(Debug, Default)]
pub struct FakeEngine {
    /// Prefill results by handle.
    results: BTreeMap<String, RequestNumber>,
    /// Handle of the prefill result of each attempt.
    handles: BTreeMap<AttemptKey, String>,
    /// KV caches that were imported and are not decoded yet.
    imported: BTreeMap<AttemptKey, RequestNumber>,
    streams: BTreeMap<AttemptKey, Stream>,
}

/// Entry, request and attempt of an [`AttemptId`], which has no order and so cannot be the
/// key of a `BTreeMap`.
type AttemptKey = (u64, u64, u32);

fn key(id: AttemptId) -> AttemptKey {
    (id.entry, id.request, id.attempt)
}

fn id(key: AttemptKey) -> AttemptId {
    AttemptId { entry: key.0, request: key.1, attempt: key.2 }
}

impl FakeEngine {
    /// Runs a prefill and returns the handle of its result.
    pub fn prefill(&mut self, id: AttemptId, number: RequestNumber) -> String {
        let handle = format!("{:?}", key(id));
        self.results.insert(handle.clone(), number);
        self.handles.insert(key(id), handle.clone());
        handle
    }

    /// Request whose prefill result has this handle; `None` if it was freed or evicted.
    pub fn result(&self, handle: &str) -> Option<RequestNumber> {
        self.results.get(handle).copied()
    }

    /// Stores a KV cache that was transferred to this engine.
    pub fn import(&mut self, id: AttemptId, number: RequestNumber) {
        self.imported.insert(key(id), number);
    }

    /// Starts the stream of an imported KV cache, or continues a stream, at token
    /// `from_index`. Returns false if the engine has neither for the attempt.
    pub fn decode(&mut self, id: AttemptId, from_index: u32, end_index: u32) -> bool {
        if let Some(number) = self.imported.remove(&key(id)) {
            self.streams.insert(
                key(id),
                Stream { number, next_index: from_index, end_index, has_reader: true },
            );
            return true;
        }
        let Some(stream) = self.streams.get_mut(&key(id)) else { return false };
        stream.next_index = from_index;
        stream.has_reader = true;
        true
    }

    /// Generates the next token of every stream that has a reader.
    pub fn step(&mut self) -> Vec<UpstreamEvent> {
        let mut events = Vec::new();
        for (&key, stream) in self.streams.iter_mut().filter(|(_, stream)| stream.has_reader) {
            let index = stream.next_index;
            stream.next_index += 1;
            events.push(UpstreamEvent::Chunk {
                id: id(key),
                index,
                text: token_text(stream.number, index).into(),
                last: stream.next_index == stream.end_index,
                finish_reason: if stream.next_index == stream.end_index {
                    "stop".to_string()
                } else {
                    String::new()
                },
            });
        }
        self.streams.retain(|_, stream| stream.next_index < stream.end_index);
        events
    }

    /// Breaks the connection of the first stream that has one. The engine keeps the stream,
    /// without generating, until it is continued or cancelled.
    pub fn cut_stream(&mut self) -> Option<AttemptId> {
        let (&key, stream) = self.streams.iter_mut().find(|(_, stream)| stream.has_reader)?;
        stream.has_reader = false;
        Some(id(key))
    }

    /// Closes the connections of all streams, because the agent was killed or has exited.
    pub fn close_all_connections(&mut self) {
        self.streams.values_mut().for_each(|stream| stream.has_reader = false);
    }

    /// Frees everything that the engine holds for an attempt.
    pub fn cancel(&mut self, id: AttemptId) {
        self.streams.remove(&key(id));
        self.imported.remove(&key(id));
        if let Some(handle) = self.handles.remove(&key(id)) {
            self.results.remove(&handle);
        }
    }

    /// Evicts all prefill results.
    pub fn evict_results(&mut self) {
        self.results.clear();
        self.handles.clear();
    }

    /// All streams and imported caches, as the engine lists them to its agent.
    pub fn running(&self) -> Vec<RunningStream> {
        let attempts = self.streams.keys().chain(self.imported.keys());
        attempts.map(|&key| RunningStream { id: id(key), blocks: 1 }).collect()
    }
}
