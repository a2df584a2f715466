//! `bamboodoor publish MANIFEST`: appends a manifest to the log and reads it back
//! to learn whether it was accepted, also when the response to the append is lost.

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
/// Most appends of the record, all with the same `publish_id`, before publishing fails.
const MAX_APPEND_ATTEMPTS: u32 = 5;
/// Largest manifest body that counts as accepted; the default of `max_manifest_bytes` in
/// the daemons' settings.
const MAX_BODY_BYTES: usize = 1 << 20;

/// A manifest to publish.
#[derive(Debug, Clone)]
pub struct Publication<'a> {
    /// Text of the manifest, already validated.
    pub body: &'a str,
    /// Name of the person or pipeline that publishes, kept in the record.
    pub publisher: &'a str,
    /// Generation that the manifest was written against; `None` means the
    /// generation in force when the publication starts.
    pub based_on: Option<u64>,
    /// Unique id of this publication, by which its record is found in the log.
    pub publish_id: &'a str,
}

/// Publishes a manifest, waits until its record can be read back, and returns the
/// generation that it was accepted as.
///
/// # Errors
/// Returns [`Error::Superseded`] if the record was ignored, usually because another
/// manifest was accepted first, and [`Error::Log`] if the log cannot be used or the
/// outcome is unknown. In the second case the record may still appear in the log later;
/// running the command again with the same `based_on` is safe.
pub async fn publish(log: &LogClient, publication: &Publication<'_>) -> Result<u64> {
    let mut reader = LogReader { log, fold: ManifestFold::new(MAX_BODY_BYTES), own_outcome: None };
    reader.read_all(publication.publish_id).await?;
    if !reader.fold.is_anchored() && reader.fold.next_offset().is_some_and(|next| next > 0) {
        let detail = "no record in it tells which manifest is in force; check that --log names \
                      the right log"
            .to_string();
        return Err(Error::Log(detail));
    }
    let based_on = publication.based_on.unwrap_or(reader.fold.generation());
    let record =
        publish_record(publication.publish_id, publication.publisher, based_on, publication.body);
    let text = serde_json::to_string(&record).expect("a record can be serialized as JSON");
    let mut last_error = String::new();
    for _ in 0..MAX_APPEND_ATTEMPTS {
        if let Err(error) = log.append(MANIFEST_STREAM, &text, APPEND_TIMEOUT).await {
            last_error = error.to_string();
        }
        // The result of the append does not decide: a record may be stored although
        // its response was lost. Only reading the log shows what happened.
        if let Err(error) = reader.read_all(publication.publish_id).await {
            last_error = error.to_string();
            continue;
        }
        if let Some(accepted) = reader.own_outcome {
            let in_force = reader.fold.generation();
            return accepted.ok_or(Error::Superseded { in_force, based_on });
        }
    }
    Err(Error::Log(format!(
        "the manifest may or may not have been published, last error: {last_error}; check that \
         the log is reachable and repeat with --based-on {based_on}"
    )))
}

struct LogReader<'a> {
    log: &'a LogClient,
    fold: ManifestFold,
    /// Outcome of this publication; `None` until its record was read. The inner value is
    /// the generation that it was accepted as, or `None` if the record was ignored.
    own_outcome: Option<Option<u64>>,
}

impl LogReader<'_> {
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
                self.note_own_outcome(publish_id, &record.record, &verdict);
            }
            if self.fold.next_offset().unwrap_or(0) >= read.next_offset {
                return Ok(());
            }
        }
    }

    fn note_own_outcome(&mut self, publish_id: &str, record: &str, verdict: &Verdict) {
        let parsed = serde_json::from_str::<ManifestRecord>(record).ok();
        let Some(Kind::Publish(publish)) = parsed.and_then(|record| record.kind) else { return };
        if publish.publish_id != publish_id {
            return;
        }
        let accepted = match verdict {
            Verdict::Accepted { generation } => Some(*generation),
            Verdict::Ignored(_) => None,
        };
        // The first accepted copy of the record decides. Copies that were appended
        // again are ignored, since the generation has moved on by then.
        self.own_outcome = Some(self.own_outcome.flatten().or(accepted));
    }
}
