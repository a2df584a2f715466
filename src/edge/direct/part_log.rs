//! Log of reports about parts of prompts in the platform's store: appends those of this entry,
//! and follows those of all entries.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;
use tokio::sync::Notify;

use crate::clock::as_ms;
use crate::clock::unix_time;
use crate::edge::direct::dispatch::Dispatcher;
use crate::edge::direct::store_follower::EntryLog;
use crate::edge::direct::store_follower::Store;
use crate::edge::direct::store_follower::StoreError;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::router::Router;
use crate::router::follow::LogPosition;
use crate::router::poison::CrashedRun;
use crate::router::poison::PartChange;
use crate::router::poison::PartReport;
use crate::router::request::PromptPartId;
use crate::schema::record;

/// Time for which reports are collected before they are appended in one record: a crash ends
/// many runs at once.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Pause after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Largest number of appends of one batch.
const MAX_APPENDS: u32 = 20;
/// Time limit of a call to the store, beyond the long poll.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Long poll of the log. A connection that became unresponsive is only noticed after it.
const LONG_POLL: Duration = Duration::from_secs(8);
/// Pause after weak reports were read, so that many reports of many entries do not become a call
/// of each entry for each report.
const READ_INTERVAL: Duration = Duration::from_millis(2_000);
/// Shortest pause between two reads, whatever the store responds.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(250);

/// What a read of the log has brought.
enum NewReports {
    None,
    /// Reports of runs that may have ended for many reasons, or went well.
    Weak,
    /// Reports of engines that crashed while they responded: more may follow soon.
    Strong,
}

impl NewReports {
    fn of(reports: &[PartReport]) -> Self {
        let is_strong =
            |report: &PartReport| matches!(report, PartReport::Crashed(run) if run.response_begun);
        match reports {
            [] => Self::None,
            reports if reports.iter().any(is_strong) => Self::Strong,
            _ => Self::Weak,
        }
    }
}

/// Signal from requests to the task that appends.
#[derive(Debug, Default)]
pub struct PartLog {
    unsent: Notify,
}

impl PartLog {
    /// Wakes the task that appends, if the router has reports for it.
    pub(super) fn wake_appender(&self, router: &Router) {
        if router.has_unsent_part_reports() {
            self.unsent.notify_one();
        }
    }
}

/// Appends the reports of this entry until the process ends.
pub async fn append<S: Store, U: UpstreamClient>(store: Rc<S>, dispatcher: Rc<Dispatcher<U>>) {
    loop {
        dispatcher.part_log.unsent.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        let reports = dispatcher.router.borrow_mut().take_unsent_part_reports();
        if !reports.is_empty() {
            append_batch(&*store, &dispatcher, reports).await;
        }
    }
}

/// Appends a batch. A lost response may mean that it was appended; twice does no harm.
async fn append_batch<S: Store, U: UpstreamClient>(
    store: &S,
    dispatcher: &Dispatcher<U>,
    reports: Vec<PartReport>,
) {
    let is_crash = |report: &&PartReport| matches!(report, PartReport::Crashed(_));
    let crashed = reports.iter().filter(is_crash).count();
    let sound = reports.len() - crashed;
    let record = encode(reports);
    for _ in 0..MAX_APPENDS {
        let log = EntryLog::PartReports;
        let appended = store.append_record(log, record.clone(), STORE_TIMEOUT).await;
        dispatcher.record_store_eras(store);
        let Err(error) = appended else {
            spdlog::info!("part-reports-appended", kv: { crashed = crashed, sound = sound });
            return;
        };
        spdlog::warn!("part-reports-not-appended", kv: {
            crashed = crashed,
            sound = sound,
            detail: = error
        });
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Follows the reports of all entries until the process ends.
pub async fn follow<S: Store, U: UpstreamClient>(store: Rc<S>, dispatcher: Rc<Dispatcher<U>>) {
    let mut position = LogPosition::default();
    loop {
        let pause = match read(&*store, &dispatcher, &mut position).await {
            Ok(NewReports::Weak) => READ_INTERVAL,
            Ok(NewReports::None | NewReports::Strong) => MIN_READ_INTERVAL,
            Err(error) => {
                spdlog::debug!("part-reports-not-read", kv: { detail: = error });
                RETRY_DELAY
            }
        };
        dispatcher.log_part_changes();
        tokio::time::sleep(pause).await;
    }
}

/// Reads the next reports, or waits for some.
async fn read<S: Store, U: UpstreamClient>(
    store: &S,
    dispatcher: &Dispatcher<U>,
    position: &mut LogPosition,
) -> Result<NewReports, StoreError> {
    position.enter_era(dispatcher.router.borrow().store_era());
    let (log, from) = (EntryLog::PartReports, position.next_offset);
    let page = store.read_log(log, from, LONG_POLL, LONG_POLL + STORE_TIMEOUT).await;
    dispatcher.record_store_eras(store);
    if position.enter_era(dispatcher.router.borrow().store_era()) {
        return Ok(NewReports::None);
    }
    if let Err(StoreError::HistoryLost { first_offset }) = page {
        position.next_offset = first_offset;
    }
    let page = page?;
    let now = dispatcher.now();
    let mut all_reports = Vec::new();
    for record in page.records {
        let (reports, age) = decode(record);
        all_reports.extend_from_slice(&reports);
        let reported_at = now.saturating_sub(age);
        dispatcher.router.borrow_mut().record_part_reports(now, reported_at, reports);
    }
    position.next_offset = page.next_offset;
    Ok(NewReports::of(&all_reports))
}

impl<U: UpstreamClient> Dispatcher<U> {
    /// Logs what has changed about parts of prompts.
    pub(super) fn log_part_changes(&self) {
        for change in self.router.borrow_mut().take_part_changes() {
            let instance = &self.name;
            match change {
                PartChange::Poisonous { part, crashed_engines } => {
                    spdlog::warn!("part-poisonous", kv: {
                        instance: = instance,
                        part: = part.0,
                        crashed_engines = crashed_engines
                    });
                }
                PartChange::Tried { part } => {
                    spdlog::info!("part-tried", kv: { instance: = instance, part: = part.0 });
                }
                PartChange::Sound { part } => {
                    spdlog::info!("part-sound", kv: { instance: = instance, part: = part.0 });
                }
            }
        }
    }
}

fn encode(reports: Vec<PartReport>) -> Bytes {
    let reports = reports.into_iter().map(|report| record::PartReport {
        kind: Some(match report {
            PartReport::Crashed(run) => record::part_report::Kind::Crashed(record::CrashedRun {
                request_id: run.request_id.into(),
                engine_id: run.engine_id.into(),
                engine_started_ms: run.engine_started_ms,
                parts: run.parts.into_iter().map(|part| part.0.into()).collect(),
                response_begun: run.response_begun,
            }),
            PartReport::Sound(part) => record::part_report::Kind::SoundPart(part.0.into()),
        }),
    });
    let written_unix_ms = as_ms(unix_time());
    record::PartReportBatch { reports: reports.collect(), written_unix_ms }.encode_to_vec().into()
}

/// Decodes a record and returns its reports and their age; one that is not valid holds no
/// reports.
fn decode(record: Bytes) -> (Vec<PartReport>, Duration) {
    let batch = record::PartReportBatch::decode(record).unwrap_or_else(|error| {
        spdlog::warn!("part-reports-unreadable", kv: { detail: = error });
        record::PartReportBatch::default()
    });
    let age = unix_time().saturating_sub(Duration::from_millis(batch.written_unix_ms));
    let reports = batch.reports.into_iter().filter_map(|report| report.kind).map(decode_report);
    (reports.collect(), age)
}

fn decode_report(kind: record::part_report::Kind) -> PartReport {
    match kind {
        record::part_report::Kind::SoundPart(part) => PartReport::Sound(PromptPartId(part.into())),
        record::part_report::Kind::Crashed(run) => PartReport::Crashed(CrashedRun {
            request_id: run.request_id.into(),
            engine_id: run.engine_id.into(),
            engine_started_ms: run.engine_started_ms,
            parts: run.parts.into_iter().map(|part| PromptPartId(part.into())).collect(),
            response_begun: run.response_begun,
        }),
    }
}
