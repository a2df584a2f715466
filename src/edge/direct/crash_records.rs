//! Records of crashed runs in the platform's store.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use crate::clock::as_ms;
use crate::clock::unix_time;
use crate::router::fingerprint::Fingerprint;
use crate::router::poison::AgedRun;
use crate::router::poison::CrashedRun;
use crate::router::poison::Incarnation;
use crate::router::poison::Suspect;
use crate::router::poison::SuspectRecord;
use crate::router::request::PromptPartId;
use crate::schema::record;

/// Encodes runs that have just crashed, for the log of reports.
pub(super) fn encode_reports(runs: &[CrashedRun]) -> Bytes {
    let runs = runs.iter().map(|run| encode_run(run, Duration::ZERO)).collect();
    record::CrashReportBatch { runs }.encode_to_vec().into()
}

/// Decodes a record of the log of reports; one that is not valid holds no runs.
pub(super) fn decode_reports(record: Bytes) -> Vec<AgedRun> {
    let batch = record::CrashReportBatch::decode(record).unwrap_or_else(|error| {
        spdlog::warn!("crashes-unreadable", kv: { detail: = error });
        record::CrashReportBatch::default()
    });
    batch.runs.into_iter().filter_map(decode_run).collect()
}

/// Encodes the record of a suspect; `None` removes it from the store.
pub(super) fn encode_record(record: &SuspectRecord) -> Option<Bytes> {
    let SuspectRecord::Crashed(runs) = record else { return None };
    let runs = runs.iter().map(|aged| encode_run(&aged.run, aged.age)).collect();
    Some(record::SuspectRecord { runs }.encode_to_vec().into())
}

/// Decodes the record of a suspect; `None` if it is not valid.
pub(super) fn decode_record(value: Option<Bytes>) -> Option<SuspectRecord> {
    let Some(value) = value else { return Some(SuspectRecord::Harmless) };
    let record = record::SuspectRecord::decode(value).ok()?;
    Some(SuspectRecord::Crashed(record.runs.into_iter().filter_map(decode_run).collect()))
}

fn encode_run(run: &CrashedRun, age: Duration) -> record::CrashedRun {
    let part = |suspect: &Suspect| match suspect {
        Suspect::Part(part) => Some(part.0.to_string()),
        Suspect::Request(_) => None,
    };
    record::CrashedRun {
        request_id: run.request_id.to_string(),
        upstream_id: run.upstream.id.to_string(),
        upstream_started_ms: run.upstream.started_ms,
        parts: run.suspects.iter().filter_map(part).collect(),
        fingerprint: run.request.as_bytes().to_vec(),
        request_is_suspect: run.suspects.contains(&Suspect::Request(run.request)),
        is_trial: run.is_trial,
        crashed_unix_ms: as_ms(unix_time().saturating_sub(age)),
    }
}

/// Decodes a run; `None` if its fingerprint is not valid.
fn decode_run(run: record::CrashedRun) -> Option<AgedRun> {
    let request = Fingerprint::from_bytes(&run.fingerprint)?;
    let parts = run.parts.into_iter().map(|part| Suspect::Part(PromptPartId(part.into())));
    let whole = run.request_is_suspect.then_some(Suspect::Request(request));
    let age = unix_time().saturating_sub(Duration::from_millis(run.crashed_unix_ms));
    let run = CrashedRun {
        request_id: run.request_id.into(),
        request,
        upstream: Incarnation { id: run.upstream_id.into(), started_ms: run.upstream_started_ms },
        suspects: parts.chain(whole).collect(),
        is_trial: run.is_trial,
    };
    Some(AgedRun { run, age })
}
