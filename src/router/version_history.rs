//! Software versions of the engines that have served, as this entry and the store know them.
//!
//! An entry proves that only one version can have begun a stream from the instance list, which
//! it has followed for as long as streams last, or from the store's record of versions. The
//! holder of the lease keeps that record: it adds a version when it is listed, and removes it
//! once it has not been listed for as long as streams last.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use compact_str::CompactString;

use crate::router::Router;
use crate::router::configuration::Configuration;
use crate::router::request::RequestKey;
use crate::router::upstreams::PoolRole;

/// Software versions of the engines of one service that were listed at some time.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// When the list first showed an engine; `None` before, or after changes of the list were
    /// missed.
    since: Option<Duration>,
    /// When each version was no longer listed; `None` while it is.
    gone_at: HashMap<CompactString, Option<Duration>>,
}

impl VersionHistory {
    /// Records the versions that are listed now.
    pub fn record(&mut self, now: Duration, listed: &HashSet<&CompactString>) {
        if !listed.is_empty() {
            self.since.get_or_insert(now);
        }
        for (version, gone_at) in &mut self.gone_at {
            if listed.contains(version) {
                *gone_at = None;
            } else {
                gone_at.get_or_insert(now);
            }
        }
        for version in listed {
            self.gone_at.entry((*version).clone()).or_insert(None);
        }
    }

    /// Records that changes of the list may have been missed.
    pub fn record_gap(&mut self) {
        self.since = None;
    }

    /// Versions that were listed within the last `period`.
    pub fn recent(&self, now: Duration, period: Duration) -> impl Iterator<Item = &CompactString> {
        let recent = self.gone_at.iter().filter(move |(_, gone_at)| {
            gone_at.is_none_or(|gone_at| now < gone_at.saturating_add(period))
        });
        recent.map(|(version, _)| version)
    }

    /// True if several versions were listed within the last `period`.
    pub fn is_mixed(&self, now: Duration, period: Duration) -> bool {
        self.recent(now, period).count() > 1
    }

    /// True if the versions of the whole last `period` are known.
    pub fn covers(&self, now: Duration, period: Duration) -> bool {
        self.since.is_some_and(|since| since + period <= now)
    }
}

/// Versions of one service that may have begun streams, as the store holds them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceVersions {
    /// Name of the service.
    pub service: CompactString,
    /// The versions.
    pub versions: BTreeSet<CompactString>,
}

/// The store's records of versions, as last read or written by this entry.
#[derive(Debug, Default)]
pub struct RecordedVersions {
    /// Versions by service; `None` before the records were read.
    by_service: Option<HashMap<CompactString, BTreeSet<CompactString>>>,
}

impl RecordedVersions {
    /// Versions of a service; `None` if the store has no record of it, or it was not read.
    fn of(&self, service: &CompactString) -> Option<&BTreeSet<CompactString>> {
        self.by_service.as_ref()?.get(service)
    }

    /// Has the records read anew, as the store may hold others.
    pub(super) fn forget(&mut self) {
        self.by_service = None;
    }
}

impl Router {
    /// Records the software versions in the instance list. To be called after each
    /// change of the list. Records the origins of the streams in flight once there are
    /// several versions.
    pub fn record_versions(&mut self, now: Duration) {
        let Some(configuration) = self.configuration.clone() else { return };
        for service in configuration.services.iter().filter(|service| service.engine.is_some()) {
            let engines = self.upstreams.service_upstreams(&service.name);
            let engines = engines.filter(|(_, engine)| engine.listed.role != PoolRole::Service);
            let listed = engines.map(|(_, engine)| &engine.listed.version).collect();
            let history = self.version_histories.entry(service.name.clone()).or_default();
            history.record(now, &listed);
        }
        self.record_origins_in_flight(now);
    }

    fn record_origins_in_flight(&mut self, now: Duration) {
        let in_flight: Vec<RequestKey> = self.requests.keys().collect();
        for key in in_flight {
            self.record_origin(now, key);
        }
    }

    /// Records that changes of the instance list may have been missed: versions that came
    /// and went meanwhile are not known.
    pub fn record_list_gap(&mut self) {
        self.version_histories.values_mut().for_each(VersionHistory::record_gap);
        self.recorded_versions.forget();
    }

    /// True if the store's records of versions are to be read: there are resumable streams,
    /// and the records are not known.
    pub fn needs_recorded_versions(&self) -> bool {
        let Some(configuration) = &self.configuration else { return false };
        let mut services = self.version_histories.keys();
        self.recorded_versions.by_service.is_none()
            && services.any(|service| longest_stream(configuration, service).is_some())
    }

    /// Records what the store holds of all services. Records the origins of the streams in
    /// flight if it shows several versions.
    pub fn set_recorded_versions(&mut self, now: Duration, records: Vec<ServiceVersions>) {
        let by_service = records.into_iter().map(|record| (record.service, record.versions));
        self.recorded_versions.by_service = Some(by_service.collect());
        self.record_origins_in_flight(now);
    }

    /// Records that a write of a record failed or may have been carried out: the records are
    /// to be read anew.
    pub fn forget_recorded_versions(&mut self) {
        self.recorded_versions.forget();
    }

    /// Records that the store holds this.
    pub fn set_recorded_service(&mut self, record: ServiceVersions) {
        if let Some(by_service) = &mut self.recorded_versions.by_service {
            by_service.insert(record.service, record.versions);
        }
    }

    /// Returns the records that the store should hold in place of those that were read. Only
    /// the holder of the lease may write them.
    pub fn versions_to_record(&self, now: Duration) -> Vec<ServiceVersions> {
        let Some(configuration) = &self.configuration else { return Vec::new() };
        if self.recorded_versions.by_service.is_none() {
            return Vec::new();
        }
        let services = self.version_histories.keys();
        let updates = services.filter_map(|service| {
            let versions = self.service_versions_to_record(now, configuration, service)?;
            let current = self.recorded_versions.of(service);
            (current != Some(&versions))
                .then(|| ServiceVersions { service: service.clone(), versions })
        });
        updates.collect()
    }

    /// Versions that the store should hold of a service. `None` if it needs no record, or if
    /// there is none yet and this entry does not know the versions of all streams.
    fn service_versions_to_record(
        &self,
        now: Duration,
        configuration: &Configuration,
        service: &CompactString,
    ) -> Option<BTreeSet<CompactString>> {
        let period = longest_stream(configuration, service)?;
        let history = self.version_histories.get(service)?;
        let mut versions: BTreeSet<CompactString> = history.recent(now, period).cloned().collect();
        if !history.covers(now, period) {
            versions.extend(self.recorded_versions.of(service)?.iter().cloned());
        }
        (!versions.is_empty()).then_some(versions)
    }

    /// Versions that may have begun a stream of a service within the last `period`, if that is
    /// known: the instance list was followed for so long, or the store has a record. The list
    /// must have been read just now.
    pub(super) fn versions_that_served(
        &self,
        now: Duration,
        service: &CompactString,
        period: Duration,
    ) -> Option<HashSet<&CompactString>> {
        let history = self.version_histories.get(service)?;
        let mut versions: HashSet<&CompactString> = history.recent(now, period).collect();
        if !history.covers(now, period) {
            versions.extend(self.recorded_versions.of(service)?);
        }
        Some(versions)
    }
}

/// Longest time that a resumable stream of a service lasts; `None` if it has none.
fn longest_stream(configuration: &Configuration, service: &CompactString) -> Option<Duration> {
    let resumable = configuration.routes.iter().filter(|route| {
        route.resumable && route.destinations.iter().any(|to| to.service == *service)
    });
    resumable.map(|route| route.timeout).max()
}
