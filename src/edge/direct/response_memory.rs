//! Limits the memory of all responses that are buffered at the same time.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;

/// Memory that all buffered responses of an entry may take together. The smallest entries
/// have 88 MB for everything.
const MAX_BUFFERED_TOTAL_BYTES: usize = 16 << 20;

/// Memory that buffered responses take; clones share the count.
#[derive(Debug, Clone, Default)]
pub(super) struct ResponseMemory(Arc<AtomicUsize>);

impl ResponseMemory {
    /// Reserves memory, or returns `None` if the limit does not allow it.
    pub(super) fn reserve(&self, bytes: usize) -> Option<ReservedMemory> {
        let mut reserved = ReservedMemory { memory: self.clone(), bytes: 0 };
        reserved.grow_to(bytes).then_some(reserved)
    }
}

/// Memory reserved for one response, free again when it is dropped.
#[derive(Debug)]
pub(super) struct ReservedMemory {
    memory: ResponseMemory,
    bytes: usize,
}

impl ReservedMemory {
    /// Raises the reserved memory to `bytes`. Returns false if the limit does not allow it.
    pub(super) fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let add = |used: usize| used.checked_add(more).filter(|it| *it <= MAX_BUFFERED_TOTAL_BYTES);
        let added = self.memory.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok();
        self.bytes += if added { more } else { 0 };
        added
    }

    /// Returns bytes that keep the memory reserved until the last clone is dropped.
    pub(super) fn attach_to(self, body: Bytes) -> Bytes {
        Bytes::from_owner(CountedBody { body, _memory: self })
    }
}

impl Drop for ReservedMemory {
    fn drop(&mut self) {
        self.memory.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct CountedBody {
    body: Bytes,
    _memory: ReservedMemory,
}

impl AsRef<[u8]> for CountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
