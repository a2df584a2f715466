//! Tells the other entries what crashed upstreams: appends crashed runs of this entry to a log
//! of the platform's store, reads there whether others saw the same, and publishes the
//! suspects.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::edge::direct::crash_records::decode_reports;
use crate::edge::direct::crash_records::encode_record;
use crate::edge::direct::crash_records::encode_reports;
use crate::edge::direct::dispatch::Dispatcher;
use crate::edge::direct::store::EntryLog;
use crate::edge::direct::store::EntryTopic;
use crate::edge::direct::store::Store;
use crate::edge::direct::store::StoreError;
use crate::edge::direct::upstream_client::UpstreamClient;
use crate::router::Router;
use crate::router::follow::LogPosition;
use crate::router::poison::CrashedRun;
use crate::router::poison::SuspectChange;
use crate::router::poison::SuspectUpdate;

/// Time for which crashed runs are collected before they are appended in one record: a crash
/// ends many runs at once.
const BATCH_DELAY: Duration = Duration::from_millis(100);
/// Longest time after which the others are told that a suspect is harmless.
const MAX_HARMLESS_DELAY: Duration = Duration::from_secs(2);
/// Pause after a call that failed. It doubles with each further one.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest pause after a call that failed.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Time limit of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// Signal from requests to the task that calls the store.
#[derive(Debug, Default)]
pub struct CrashLog {
    unsent: Notify,
}

impl CrashLog {
    /// Wakes the task that calls the store, if the router has something for it.
    pub(super) fn wake(&self, router: &Router) {
        if router.has_unsent_crash_reports() {
            self.unsent.notify_one();
        }
    }
}

/// Reports crashed runs of this entry and publishes suspects, until the process ends.
pub async fn report<S: Store, U: UpstreamClient>(store: Rc<S>, dispatcher: Rc<Dispatcher<U>>) {
    let mut reporter = Reporter { store, dispatcher, position: LogPosition::default() };
    loop {
        let unsent = &reporter.dispatcher.crash_log.unsent;
        unsent.notified().await;
        if !reporter.dispatcher.router.borrow().has_unreported_crashes() {
            // Another entry may say the same first. A crash ends the wait.
            let spread = rand::random_range(Duration::ZERO..MAX_HARMLESS_DELAY);
            let _ = tokio::time::timeout(spread, unsent.notified()).await;
        }
        tokio::time::sleep(BATCH_DELAY).await;
        reporter.report_crashes().await;
        reporter.publish_suspects().await;
        reporter.dispatcher.log_suspect_changes();
    }
}

/// State of the task that reports.
struct Reporter<S, U> {
    store: Rc<S>,
    dispatcher: Rc<Dispatcher<U>>,
    /// Position up to which the log was read.
    position: LogPosition,
}

impl<S: Store, U: UpstreamClient> Reporter<S, U> {
    /// Appends the crashed runs of this entry, then reads the log up to them.
    async fn report_crashes(&mut self) {
        let runs = self.dispatcher.router.borrow_mut().take_unreported_crashes();
        if runs.is_empty() {
            return;
        }
        self.append(&runs).await;
        let mut retry_delay = RETRY_DELAY;
        while let Err(error) = self.read_to_end().await {
            spdlog::warn!("crashes-not-read", kv: { detail: = error });
            tokio::time::sleep(retry_delay).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
        let now = self.dispatcher.now();
        self.dispatcher.router.borrow_mut().publish_repeated_crashes(now, &runs);
    }

    /// Appends runs until that succeeds. A lost response may mean that they were appended;
    /// twice does no harm.
    async fn append(&self, runs: &[CrashedRun]) {
        let record = encode_reports(runs);
        let mut retry_delay = RETRY_DELAY;
        loop {
            let log = EntryLog::CrashReports;
            let appended = self.store.append_record(log, record.clone(), STORE_TIMEOUT).await;
            self.dispatcher.record_store_eras(&*self.store);
            let Err(error) = appended else {
                spdlog::info!("crashes-reported", kv: { runs = runs.len() });
                return;
            };
            spdlog::warn!("crashes-not-reported", kv: { runs = runs.len(), detail: = error });
            tokio::time::sleep(retry_delay).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Reads the log up to its present end.
    async fn read_to_end(&mut self) -> Result<(), StoreError> {
        loop {
            self.position.enter_era(self.dispatcher.router.borrow().store_era());
            let (log, from) = (EntryLog::CrashReports, self.position.next_offset);
            let page = self.store.read_log(log, from, Duration::ZERO, STORE_TIMEOUT).await;
            self.dispatcher.record_store_eras(&*self.store);
            if self.position.enter_era(self.dispatcher.router.borrow().store_era()) {
                continue;
            }
            if let Err(StoreError::HistoryLost { first_offset }) = page {
                self.position.next_offset = first_offset;
            }
            let page = page?;
            let runs = page.records.into_iter().flat_map(decode_reports).collect();
            let now = self.dispatcher.now();
            self.dispatcher.router.borrow_mut().record_crash_reports(now, runs);
            self.position.next_offset = page.next_offset;
            if page.next_offset >= page.end_offset {
                return Ok(());
            }
        }
    }

    /// Writes what the store is to hold about suspects.
    async fn publish_suspects(&self) {
        let updates = self.dispatcher.router.borrow_mut().take_suspect_updates();
        for update in updates {
            self.publish(update).await;
        }
    }

    /// Writes the record of a suspect until that succeeds.
    async fn publish(&self, update: SuspectUpdate) {
        let SuspectUpdate { suspect, record } = update;
        let value = encode_record(&record);
        let mut retry_delay = RETRY_DELAY;
        loop {
            let key = suspect.to_string();
            let written = self
                .store
                .put_record(EntryTopic::Suspects, &key, value.clone(), STORE_TIMEOUT)
                .await;
            self.dispatcher.record_store_eras(&*self.store);
            let Err(error) = written else {
                let harmless = value.is_none();
                spdlog::info!("suspect-published", kv: { suspect: = key, harmless = harmless });
                return;
            };
            spdlog::warn!("suspect-not-published", kv: { suspect: = key, detail: = error });
            tokio::time::sleep(retry_delay).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    }
}

impl<U: UpstreamClient> Dispatcher<U> {
    /// Logs what has changed about suspects.
    pub(super) fn log_suspect_changes(&self) {
        for change in self.router.borrow_mut().take_suspect_changes() {
            let instance = &self.name;
            match change {
                SuspectChange::Poisonous { suspect, crashed_upstreams } => {
                    spdlog::warn!("suspect-poisonous", kv: {
                        instance: = instance,
                        suspect: = suspect,
                        crashed_upstreams = crashed_upstreams
                    });
                }
                SuspectChange::Tried { suspect } => {
                    spdlog::info!("suspect-tried", kv: {
                        instance: = instance,
                        suspect: = suspect
                    });
                }
                SuspectChange::Sound { suspect } => {
                    spdlog::info!("suspect-sound", kv: {
                        instance: = instance,
                        suspect: = suspect
                    });
                }
            }
        }
    }
}
