//! `bamboodoor publish MANIFEST`: appends a manifest and tells what became of
//! it, also when the answer of the log is lost.

use std::time::Duration;

use crate::edge::platform::LogClient;
use crate::edge::platform::MANIFEST_STREAM;
use crate::error::Error;
use crate::error::Result;
use crate::manifest::fold::ManifestFold;
use crate::manifest::fold::Verdict;
use crate::manifest::fold::publish_record;
use crate::schema::record::ManifestRecord;
use crate::schema::record::manifest_record::Kind;

const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_APPENDS: u32 = 5;
const MAX_BODY_BYTES: usize = 1 << 20;

/// A manifest to publish.
#[derive(Debug, Clone)]
pub struct Publication<'a> {
    /// The body, checked before.
    pub body: &'a str,
    /// Who publishes.
    pub publisher: &'a str,
    /// Generation that it was written against; the one in force if `None`.
    pub based_on: Option<u64>,
    /// Differs between any two publications.
    pub publish_id: &'a str,
}

/// Publishes a manifest and waits until its record was read back.
///
/// # Errors
/// `Superseded` if another was accepted first, `Log` if the log cannot be
/// reached; then the publication may still turn up, and running the command
/// again with the same `based_on` is safe.
pub async fn publish(log: &LogClient, publication: &Publication<'_>) -> Result<u64> {
    let mut reader = Reader { log, fold: ManifestFold::new(MAX_BODY_BYTES), own: None };
    reader.read_all(publication.publish_id).await?;
    if !reader.fold.is_anchored() && reader.fold.next_offset().is_some_and(|next| next > 0) {
        let detail = "no manifest in the log says what is in force".to_string();
        return Err(Error::Log(detail));
    }
    let based_on = publication.based_on.unwrap_or(reader.fold.generation());
    let record =
        publish_record(publication.publish_id, publication.publisher, based_on, publication.body);
    let text = serde_json::to_string(&record).expect("a record is plain data");
    let mut last_error = String::new();
    for _ in 0..MAX_APPENDS {
        if let Err(error) = log.append(MANIFEST_STREAM, &text, APPEND_TIMEOUT).await {
            last_error = error.to_string();
        }
        // Whatever the answer was, only the log tells what happened.
        if let Err(error) = reader.read_all(publication.publish_id).await {
            last_error = error.to_string();
            continue;
        }
        if let Some(accepted) = reader.own {
            let in_force = reader.fold.generation();
            return accepted.ok_or(Error::Superseded { in_force, based_on });
        }
    }
    Err(Error::Log(format!("the outcome is unknown: {last_error}")))
}

struct Reader<'a> {
    log: &'a LogClient,
    fold: ManifestFold,
    own: Option<Option<u64>>,
}

impl Reader<'_> {
    async fn read_all(&mut self, publish_id: &str) -> Result<()> {
        loop {
            let from = self.fold.next_offset().unwrap_or(0);
            let read = self.log.read(MANIFEST_STREAM, from, Duration::ZERO).await;
            let read = read.map_err(|error| Error::Log(error.to_string()))?;
            if let Some(first) = read.records.first() {
                self.fold.start_at(first.offset);
            }
            for record in &read.records {
                let verdict = self.fold.apply(record.offset, &record.record);
                self.note_own(publish_id, &record.record, &verdict);
            }
            if self.fold.next_offset().unwrap_or(0) >= read.next_offset {
                return Ok(());
            }
        }
    }

    fn note_own(&mut self, publish_id: &str, record: &str, verdict: &Verdict) {
        let parsed = serde_json::from_str::<ManifestRecord>(record).ok();
        let Some(Kind::Publish(publish)) = parsed.and_then(|record| record.kind) else { return };
        if publish.publish_id != publish_id {
            return;
        }
        let accepted = match verdict {
            Verdict::Accepted { generation } => Some(*generation),
            Verdict::Ignored(_) => None,
        };
        // The first copy decides; one that was appended again comes too late.
        self.own = Some(self.own.flatten().or(accepted));
    }
}
