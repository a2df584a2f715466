//! Decides which published manifest is in force, as a pure fold over the records of the
//! platform's log in order of their offsets.
//!
//! All processes that have read the same records have the same manifest in force. So one
//! of several operators who publish at once wins, and no process needs to ask another.

use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;
use strum::Display;
use strum::IntoStaticStr;

use crate::manifest::Snapshot;
use crate::schema::record::Carry;
use crate::schema::record::ManifestRecord;
use crate::schema::record::Publish;
use crate::schema::record::manifest_record::Kind;

/// Result of applying one record of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The manifest in this record is now in force.
    Accepted {
        /// Generation of the manifest.
        generation: u64,
    },
    /// The record has no effect.
    Ignored(IgnoreReason),
}

/// Why a record of the log has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum IgnoreReason {
    /// The record cannot be parsed.
    Malformed,
    /// The manifest body does not match the SHA-256 digest in the record.
    DigestMismatch,
    /// The manifest body is larger than the settings allow.
    TooLarge,
    /// The manifest body cannot be parsed or fails the checks.
    Invalid,
    /// Another manifest was accepted first, so the record is not based on the one in force.
    Superseded,
    /// The record holds the manifest in force again, or an earlier one.
    Old,
    /// Earlier records are missing, and no copy or carry-forward record has replaced them
    /// yet, so the manifest in force is unknown.
    NoAnchor,
}

/// The manifest in force according to the records read so far.
///
/// The fold is *anchored* if it is known that no record that could have changed the
/// manifest in force was missed. Only then are published manifests accepted.
#[derive(Debug, Clone)]
pub struct ManifestFold {
    max_body_bytes: usize,
    next_offset: Option<u64>,
    anchored: bool,
    in_force: Option<Arc<Snapshot>>,
}

impl ManifestFold {
    /// Creates a fold that has read no record. Manifest bodies larger than
    /// `max_body_bytes` are ignored.
    pub fn new(max_body_bytes: usize) -> Self {
        Self { max_body_bytes, next_offset: None, anchored: false, in_force: None }
    }

    /// Returns the manifest in force, if one is known.
    pub fn in_force(&self) -> Option<&Snapshot> {
        self.in_force.as_deref()
    }

    /// Returns a shared reference to the manifest in force, if one is known.
    pub fn in_force_shared(&self) -> Option<Arc<Snapshot>> {
        self.in_force.clone()
    }

    /// Returns true if the manifest in force is known without a gap, from the log or from
    /// a copy.
    pub fn is_anchored(&self) -> bool {
        self.anchored
    }

    /// Generation of the manifest in force, or 0 if none is known.
    pub fn generation(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |snapshot| snapshot.generation)
    }

    /// Offset of the next record to read; `None` before the first one is known.
    pub fn next_offset(&self) -> Option<u64> {
        self.next_offset
    }

    /// Puts a copy from another process in force. Returns false, without effect, unless it
    /// has a newer generation.
    pub fn adopt(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.generation <= self.generation() {
            return false;
        }
        // The copied manifest was in force right after the record that published it. If later
        // records were read already, they are read again: without this manifest they may
        // have been ignored. `start_at` detects if the log no longer has them.
        let resume_at =
            self.next_offset.map_or(snapshot.generation, |next| next.min(snapshot.generation));
        self.next_offset = Some(resume_at.max(self.generation()));
        self.anchored = true;
        self.in_force = Some(Arc::new(snapshot));
        true
    }

    /// Sets the offset of the next records to be applied, and detects gaps.
    ///
    /// A fold that starts at offset 0 of the log is anchored. After a gap, only a copy or
    /// a carry-forward record can tell which manifest is in force.
    pub fn start_at(&mut self, first_offset: u64) {
        let expected = self.next_offset.unwrap_or(0);
        let gap_is_covered =
            self.in_force.as_ref().is_some_and(|snapshot| first_offset <= snapshot.generation);
        if first_offset > expected && !gap_is_covered {
            self.anchored = false;
        }
        if first_offset == 0 && self.next_offset.is_none() {
            self.anchored = true;
        }
        self.next_offset = Some(first_offset.max(expected));
    }

    /// Applies the record at `offset`, given as JSON.
    pub fn apply(&mut self, offset: u64, record: &str) -> Verdict {
        self.next_offset = Some(offset + 1);
        let Ok(record) = serde_json::from_str::<ManifestRecord>(record) else {
            return Verdict::Ignored(IgnoreReason::Malformed);
        };
        match record.kind {
            Some(Kind::Publish(publish)) => self.apply_publish(offset, &publish),
            Some(Kind::Carry(carry)) => self.apply_carry(offset, &carry),
            None => Verdict::Ignored(IgnoreReason::Malformed),
        }
    }

    fn apply_publish(&mut self, offset: u64, publish: &Publish) -> Verdict {
        let generation = offset + 1;
        if generation <= self.generation() {
            return Verdict::Ignored(IgnoreReason::Old);
        }
        if !self.anchored {
            return Verdict::Ignored(IgnoreReason::NoAnchor);
        }
        if publish.based_on != self.generation() {
            return Verdict::Ignored(IgnoreReason::Superseded);
        }
        match self.read_body(generation, &publish.body, &publish.sha256) {
            Ok(snapshot) => {
                self.in_force = Some(Arc::new(snapshot));
                Verdict::Accepted { generation }
            }
            Err(reason) => Verdict::Ignored(reason),
        }
    }

    fn apply_carry(&mut self, offset: u64, carry: &Carry) -> Verdict {
        let current = self.generation();
        if carry.generation < current || (carry.generation == current && self.anchored) {
            return Verdict::Ignored(IgnoreReason::Old);
        }
        if self.anchored {
            return Verdict::Ignored(IgnoreReason::Superseded);
        }
        // Between the writer's last read and this record, another manifest may have been
        // accepted. Only a writer that had read all records up to this one knows what is
        // in force.
        if carry.read_up_to != offset {
            return Verdict::Ignored(IgnoreReason::NoAnchor);
        }
        match self.read_body(carry.generation, &carry.body, &carry.sha256) {
            Ok(snapshot) => {
                self.anchored = true;
                self.in_force = Some(Arc::new(snapshot));
                Verdict::Accepted { generation: carry.generation }
            }
            Err(reason) => Verdict::Ignored(reason),
        }
    }

    fn read_body(
        &self,
        generation: u64,
        body: &str,
        sha256: &str,
    ) -> Result<Snapshot, IgnoreReason> {
        if body.len() > self.max_body_bytes {
            return Err(IgnoreReason::TooLarge);
        }
        if digest(body) != sha256 {
            return Err(IgnoreReason::DigestMismatch);
        }
        Snapshot::parse(generation, body).map_err(|_| IgnoreReason::Invalid)
    }
}

/// SHA-256 digest of a manifest body, in lower-case hexadecimal.
pub fn digest(body: &str) -> String {
    Sha256::digest(body.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Creates the record that carries `snapshot` forward, before the log drops the record
/// that published it. `read_up_to` is the offset up to which the writer has read the log,
/// where it expects the new record to be appended.
pub fn carry_forward_record(snapshot: &Snapshot, read_up_to: u64) -> ManifestRecord {
    let carry = Carry {
        generation: snapshot.generation,
        sha256: digest(&snapshot.body),
        body: snapshot.body.to_string(),
        read_up_to,
    };
    ManifestRecord { kind: Some(Kind::Carry(carry)) }
}

/// Creates the record that publishes the manifest `body`, written against the generation
/// `based_on` (0 for the first manifest).
pub fn publish_record(
    publish_id: &str,
    publisher: &str,
    based_on: u64,
    body: &str,
) -> ManifestRecord {
    let publish = Publish {
        publish_id: publish_id.to_string(),
        publisher: publisher.to_string(),
        based_on,
        sha256: digest(body),
        body: body.to_string(),
    };
    ManifestRecord { kind: Some(Kind::Publish(publish)) }
}
