//! Which published manifest is in force: a pure fold over the log's offsets.
//!
//! Every process that has read the same records holds the same generation, so
//! racing operators get one winner and no process needs to ask another.

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

/// What one record of the log did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The manifest of this record is now in force.
    Accepted {
        /// Its generation.
        generation: u64,
    },
    /// The record changes nothing.
    Ignored(IgnoreReason),
}

/// Why a record changes nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum IgnoreReason {
    /// The record is not readable.
    Malformed,
    /// The body does not match its digest.
    DigestMismatch,
    /// The body is larger than the settings allow.
    TooLarge,
    /// The body fails the check.
    Invalid,
    /// Another manifest was accepted first.
    Superseded,
    /// The record repeats what is in force or was before.
    Old,
    /// The log does not reach back to a known state yet.
    NoAnchor,
}

/// State of the fold.
#[derive(Debug, Clone)]
pub struct ManifestFold {
    max_body_bytes: usize,
    next_offset: Option<u64>,
    anchored: bool,
    in_force: Option<Arc<Snapshot>>,
}

impl ManifestFold {
    /// A fold that has read nothing. Bodies above `max_body_bytes` are refused.
    pub fn new(max_body_bytes: usize) -> Self {
        Self { max_body_bytes, next_offset: None, anchored: false, in_force: None }
    }

    /// The manifest in force, if one is known.
    pub fn in_force(&self) -> Option<&Snapshot> {
        self.in_force.as_deref()
    }

    /// The manifest in force, to be kept.
    pub fn in_force_shared(&self) -> Option<Arc<Snapshot>> {
        self.in_force.clone()
    }

    /// True if what is in force is known from the log or a copy without a gap.
    pub fn is_anchored(&self) -> bool {
        self.anchored
    }

    /// Generation in force, 0 if none is known.
    pub fn generation(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |snapshot| snapshot.generation)
    }

    /// Offset of the next record to read, if any was read.
    pub fn next_offset(&self) -> Option<u64> {
        self.next_offset
    }

    /// Takes over a copy that another process holds. Only ever moves forward.
    pub fn adopt(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.generation <= self.generation() {
            return false;
        }
        // The copy fixes the state at its own offset: reading goes on from
        // there, and `start_at` finds out if the log no longer reaches back.
        let resume_at =
            self.next_offset.map_or(snapshot.generation, |next| next.min(snapshot.generation));
        self.next_offset = Some(resume_at.max(self.generation()));
        self.anchored = true;
        self.in_force = Some(Arc::new(snapshot));
        true
    }

    /// Tells the fold where the records that will follow begin.
    ///
    /// A fold that starts at the log's first record ever is complete from there.
    /// After a gap, only a copy or a carried manifest can say what is in force.
    pub fn start_at(&mut self, first_offset: u64) {
        let expected = self.next_offset.unwrap_or(0);
        let covered = self.in_force.as_ref().is_some_and(|held| first_offset <= held.generation);
        if first_offset > expected && !covered {
            self.anchored = false;
        }
        if first_offset == 0 && self.next_offset.is_none() {
            self.anchored = true;
        }
        self.next_offset = Some(first_offset.max(expected));
    }

    /// Reads the record at `offset`.
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
        // Between the writer's last read and this record another manifest may
        // have been accepted; only a gapless writer tells what is in force.
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

/// SHA-256 of a body, in lower-case hexadecimal.
pub fn digest(body: &str) -> String {
    Sha256::digest(body.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The record that carries `snapshot` forward, written after reading the log
/// up to `read_up_to`, the offset the record is expected to land at.
pub fn carry_record(snapshot: &Snapshot, read_up_to: u64) -> ManifestRecord {
    let carry = Carry {
        generation: snapshot.generation,
        sha256: digest(&snapshot.body),
        body: snapshot.body.to_string(),
        read_up_to,
    };
    ManifestRecord { kind: Some(Kind::Carry(carry)) }
}

/// The record that publishes `body`.
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
