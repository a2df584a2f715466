//! Index of the idempotency keys that are claimed in the log.
//!
//! The index depends on the records of the log alone, so every entry reaches the
//! same result. The claim at the lowest offset owns its key. A later claim takes
//! the key over only if it names that offset, which its writer may do only if the
//! owner's attempt did not run and never will: it was not sent, or its agent has
//! reported that it did not run.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_128;

use crate::schema::record::Claim;
use crate::schema::record::ClaimBatch;
use crate::schema::record::Completion;
use crate::schema::wire::AttemptId;

/// Fingerprint of client account, service and idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClaimKey {
    /// Upper 64 bits of the hash.
    pub high: u64,
    /// Lower 64 bits of the hash.
    pub low: u64,
}

impl ClaimKey {
    /// Computes the fingerprint of the idempotency key that a caller gave.
    pub fn new(account: &str, service: &str, key: &str) -> Self {
        let text = format!("{account}\0{service}\0{key}");
        let hash = xxh3_128(text.as_bytes());
        Self { high: (hash >> u64::BITS) as u64, low: hash as u64 }
    }

    fn of_claim(claim: &Claim) -> Self {
        Self { high: claim.key_high, low: claim.key_low }
    }

    fn of_completion(completion: &Completion) -> Self {
        Self { high: completion.key_high, low: completion.key_low }
    }
}

/// Attempt that owns an idempotency key: the only one that may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// Id of the attempt.
    pub id: AttemptId,
    /// Name of the only agent that the attempt may be sent to.
    pub agent: Box<str>,
    /// Incarnation of that agent; after its restart the attempt may not be sent.
    pub agent_incarnation: u64,
    /// Digest of method, path and body, to detect another request with the same key.
    pub digest: u64,
    /// Log offset of the record that holds the claim.
    pub offset: u64,
    /// HTTP status of the response, once the call has completed.
    pub status: Option<u32>,
}

/// Owners of the idempotency keys that are claimed in the log.
#[derive(Debug, Default)]
pub struct ClaimIndex {
    owners: HashMap<ClaimKey, KeyOwner>,
    /// When each batch that gave a key its owner was appended, and those keys, by the
    /// log offset of the batch.
    keys_by_offset: BTreeMap<u64, (Duration, Vec<ClaimKey>)>,
}

impl ClaimIndex {
    /// The owner of a key, or `None` if it has none.
    pub fn owner(&self, key: ClaimKey) -> Option<&KeyOwner> {
        self.owners.get(&key)
    }

    /// Number of keys that have an owner.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// True if no key has an owner.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Applies the batch at log offset `offset`, which was appended at
    /// `appended_at`. Batches must be applied in the order of their offsets.
    pub fn apply(&mut self, offset: u64, appended_at: Duration, batch: &ClaimBatch) {
        let mut keys = Vec::new();
        for claim in &batch.claims {
            let key = ClaimKey::of_claim(claim);
            if self.claim(offset, key, claim) {
                keys.push(key);
            }
        }
        for completion in &batch.completions {
            self.complete(completion);
        }
        if !keys.is_empty() {
            self.keys_by_offset.insert(offset, (appended_at, keys));
        }
    }

    /// Applies one claim. True if it now owns the key.
    fn claim(&mut self, offset: u64, key: ClaimKey, claim: &Claim) -> bool {
        let may_take = match self.owners.get(&key) {
            None => true,
            Some(owner) => owner.status.is_none() && claim.takes_over == owner.offset + 1,
        };
        if may_take {
            let id =
                AttemptId { entry: claim.entry, request: claim.request, attempt: claim.attempt };
            self.owners.insert(
                key,
                KeyOwner {
                    id,
                    agent: claim.agent.as_str().into(),
                    agent_incarnation: claim.agent_incarnation,
                    digest: claim.digest,
                    offset,
                    status: None,
                },
            );
        }
        may_take
    }

    fn complete(&mut self, completion: &Completion) {
        let key = ClaimKey::of_completion(completion);
        let Some(owner) = self.owners.get_mut(&key) else { return };
        let same_request =
            owner.id.entry == completion.entry && owner.id.request == completion.request;
        if !same_request {
            return;
        }
        if completion.not_run {
            self.owners.remove(&key);
        } else {
            owner.status = Some(completion.status);
        }
    }

    /// Removes the owners whose claims were appended before `horizon`.
    pub fn forget_before(&mut self, horizon: Duration) {
        while let Some((&offset, (appended_at, _))) = self.keys_by_offset.first_key_value() {
            if *appended_at >= horizon {
                return;
            }
            let (_, keys) =
                self.keys_by_offset.remove(&offset).expect("the first batch was just read");
            for key in keys {
                if self.owners.get(&key).is_some_and(|owner| owner.offset == offset) {
                    self.owners.remove(&key);
                }
            }
        }
    }
}
