//! Software versions at which streams began, for callers that take up an interrupted
//! stream with a new request, mostly at another entry.
//!
//! Such a request names only the one that brought the first event. While engines of
//! several versions are listed, entries therefore append the version of each resumable
//! stream to a log of the store when its first event arrives, and an entry that does
//! not know the version reads that log. With one version nothing is written or read.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use compact_str::CompactString;

use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::router::Router;
use crate::router::flow::Step;
use crate::router::request::Request;
use crate::router::request::RequestKey;
use crate::router::upstreams::PoolRole;

/// Time for which an origin is kept in memory; streams do not last as long.
const ORIGIN_RETENTION: Duration = Duration::from_secs(60);
/// Longest wait for the log of the store.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(600);

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamOrigin {
    /// Id of the request that brought the first event of the stream.
    pub request_id: CompactString,
    /// Software version of the engine that sent it.
    pub version: CompactString,
}

/// Origin of a stream that this entry knows.
#[derive(Debug, Clone)]
struct KnownOrigin {
    version: CompactString,
    recorded_at: Duration,
    /// True if this entry served the stream and appends its origin.
    own: bool,
}

/// Origins that this entry knows: of its own streams and from the store.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    /// Known origins by the id of the request.
    known: HashMap<CompactString, KnownOrigin>,
    /// Origins of own streams that the store does not hold yet.
    unsent: Vec<StreamOrigin>,
}

impl StreamOrigins {
    /// Records origins from the store.
    pub fn record(&mut self, now: Duration, origins: Vec<StreamOrigin>) {
        self.remove_expired(now);
        for origin in origins {
            self.insert(now, origin, false);
        }
    }

    fn insert(&mut self, now: Duration, origin: StreamOrigin, own: bool) {
        let own = own || self.known.get(&origin.request_id).is_some_and(|known| known.own);
        let known = KnownOrigin { version: origin.version, recorded_at: now, own };
        self.known.insert(origin.request_id, known);
    }

    fn remove_expired(&mut self, now: Duration) {
        self.known.retain(|_, known| now < known.recorded_at + ORIGIN_RETENTION);
    }

    /// Has the origins of own streams appended again, as the store may have lost them.
    /// Returns their number.
    pub(super) fn resend_own(&mut self, now: Duration) -> usize {
        self.remove_expired(now);
        let own = self.known.iter().filter(|(_, known)| known.own);
        let own = own.map(|(request_id, known)| StreamOrigin {
            request_id: request_id.clone(),
            version: known.version.clone(),
        });
        self.unsent = own.collect();
        self.unsent.len()
    }

    /// Records the origin of an own stream, unless it is known already.
    fn record_own(&mut self, now: Duration, origin: StreamOrigin) {
        if !self.known.contains_key(&origin.request_id) {
            self.unsent.push(origin.clone());
            self.remove_expired(now);
            self.insert(now, origin, true);
        }
    }

    /// Version at which the stream of a request began, if known.
    pub fn version(&self, request_id: &str) -> Option<&CompactString> {
        self.known.get(request_id).map(|known| &known.version)
    }
}

/// Software versions of the engines of one service that were listed at some time.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// When the list first showed an engine; `None` before.
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

    /// True if several versions were listed within the last `period`.
    pub fn is_mixed(&self, now: Duration, period: Duration) -> bool {
        let recent = self
            .gone_at
            .values()
            .filter(|gone_at| gone_at.is_none_or(|gone_at| now < gone_at + period));
        recent.count() > 1
    }

    /// True if the versions of the whole last `period` are known.
    pub fn covers(&self, now: Duration, period: Duration) -> bool {
        self.since.is_some_and(|since| since + period <= now)
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
        let in_flight: Vec<RequestKey> = self.requests.keys().collect();
        for key in in_flight {
            self.record_origin(now, key);
        }
    }

    /// Records where a resumable stream began, if its caller may need that later: it has
    /// had its first event, and engines of several versions are or were listed.
    pub(super) fn record_origin(&mut self, now: Duration, key: RequestKey) {
        let request = &self.requests[key];
        let Some(version) = request.begun_version.clone() else { return };
        if !request.route().resumable || !self.is_mixed(now, request) {
            return;
        }
        let begun_by = request.resumes.as_ref().unwrap_or(&request.id);
        let origin = StreamOrigin { request_id: begun_by.clone(), version };
        self.stream_origins.record_own(now, origin);
    }

    /// Returns the origins to append to the log of the store, and clears the list of them.
    pub fn take_unsent_origins(&mut self) -> Vec<StreamOrigin> {
        std::mem::take(&mut self.stream_origins.unsent)
    }

    /// Origins of streams that this entry knows.
    pub fn stream_origins(&self) -> &StreamOrigins {
        &self.stream_origins
    }

    /// True if there are origins to append to the log of the store.
    pub fn has_unsent_origins(&self) -> bool {
        !self.stream_origins.unsent.is_empty()
    }

    /// Records origins that were read from the log of the store.
    pub fn record_origins(&mut self, now: Duration, origins: Vec<StreamOrigin>) {
        self.stream_origins.record(now, origins);
    }

    /// Starts a request whose caller takes up a stream: finds out at which version the
    /// stream began, if that matters.
    pub(super) fn take_up_stream(&mut self, now: Duration, key: RequestKey) -> Step {
        if self.set_known_origin(key) {
            return self.queue_for_reservation(now, key);
        }
        let request = &self.requests[key];
        let period = request.route().timeout;
        let history = self.version_histories.get(&request.service);
        let single = history
            .is_some_and(|history| history.covers(now, period) && !history.is_mixed(now, period));
        match request.resumes.clone() {
            Some(request_id) if !single => {
                Step::LookUpOrigin { request_id, timeout: LOOKUP_TIMEOUT }
            }
            _ => self.take_up_without_origin(now, key),
        }
    }

    /// Continues after the log of the store was read, as far as that was possible.
    pub(super) fn origins_read(&mut self, now: Duration, key: RequestKey) -> Step {
        if self.set_known_origin(key) {
            return self.queue_for_reservation(now, key);
        }
        self.take_up_without_origin(now, key)
    }

    /// Sets the version at which the stream began, if it is known. Returns true if so.
    fn set_known_origin(&mut self, key: RequestKey) -> bool {
        let request = &mut self.requests[key];
        let resumes = request.resumes.as_deref();
        request.begun_version =
            resumes.and_then(|resumes| self.stream_origins.version(resumes).cloned());
        request.begun_version.is_some()
    }

    /// Handles a request that takes up a stream whose version is not known: with several
    /// versions it could continue at the wrong one, so it is refused.
    fn take_up_without_origin(&mut self, now: Duration, key: RequestKey) -> Step {
        if self.is_mixed(now, &self.requests[key]) {
            let outcome = self.requests[key].outcome();
            return Step::Refuse(Refusal::with_outcome(RefusalReason::VersionUnavailable, outcome));
        }
        self.queue_for_reservation(now, key)
    }

    /// True if engines of several versions may have sent events of streams in flight.
    fn is_mixed(&self, now: Duration, request: &Request) -> bool {
        let history = self.version_histories.get(&request.service);
        history.is_some_and(|history| history.is_mixed(now, request.route().timeout))
    }
}
