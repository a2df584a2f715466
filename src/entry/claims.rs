//! Idempotency keys: a pure fold over the claims in the log.
//!
//! The claim at the lowest offset owns the key. A later claim takes it over
//! only if it names that offset, which its writer may do only after the
//! owner's agent has fenced the owner's try.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_128;

use crate::schema::record::Claim;
use crate::schema::record::ClaimBatch;
use crate::schema::record::Completion;
use crate::schema::wire::AttemptId;

/// Fingerprint of account, service and idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClaimKey {
    /// Upper half.
    pub high: u64,
    /// Lower half.
    pub low: u64,
}

impl ClaimKey {
    /// The fingerprint of a caller's key.
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

/// Who owns a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// The try that may run.
    pub id: AttemptId,
    /// The one agent it may be sent to.
    pub agent: Box<str>,
    /// Incarnation of that agent.
    pub agent_incarnation: u64,
    /// Digest of the request.
    pub digest: u64,
    /// Offset of the claim.
    pub offset: u64,
    /// HTTP status, once it has run.
    pub status: Option<u32>,
}

/// Which claim owns which key.
#[derive(Debug, Default)]
pub struct ClaimIndex {
    owners: HashMap<ClaimKey, KeyOwner>,
    keys_by_offset: BTreeMap<u64, (Duration, Vec<ClaimKey>)>,
}

impl ClaimIndex {
    /// The owner of a key.
    pub fn owner(&self, key: ClaimKey) -> Option<&KeyOwner> {
        self.owners.get(&key)
    }

    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// True if no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Reads the batch at `offset`, appended at `appended_at`.
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
        let same = owner.id.entry == completion.entry && owner.id.request == completion.request;
        if !same {
            return;
        }
        if completion.not_run {
            self.owners.remove(&key);
        } else {
            owner.status = Some(completion.status);
        }
    }

    /// Forgets the claims that were appended before `horizon`.
    pub fn forget_before(&mut self, horizon: Duration) {
        while let Some((&offset, (appended_at, _))) = self.keys_by_offset.first_key_value() {
            if *appended_at >= horizon {
                return;
            }
            let (_, keys) = self.keys_by_offset.remove(&offset).expect("was just seen");
            for key in keys {
                if self.owners.get(&key).is_some_and(|owner| owner.offset == offset) {
                    self.owners.remove(&key);
                }
            }
        }
    }
}
