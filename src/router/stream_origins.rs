//! Software versions at which streams began, for callers that take up an interrupted
//! stream with a new request, mostly at another entry.
//!
//! Such a request names only the one that brought the first event. While engines of
//! several versions are listed, entries therefore append the version of each resumable
//! stream to a log of the store when its first event arrives. An entry that does not know
//! the version reads that log, and the instance list up to now. A stream that is not in the
//! log goes on only if no more than one version can have begun it; the rest is refused.
//! With one version nothing is written for a stream.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

use crate::outcome::Refusal;
use crate::outcome::RefusalReason;
use crate::router::Router;
use crate::router::flow::Step;
use crate::router::request::Request;
use crate::router::request::RequestKey;

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

/// What an entry has read from the store for a caller that takes up a stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OriginLookup {
    /// True if the log of origins was read up to its end.
    pub log_read: bool,
    /// True if the instance list was read up to its end, with all changes since the last read.
    pub list_read: bool,
}

impl OriginLookup {
    /// True if everything was read: a stream that is not in the log then began while there
    /// was one version, or its entry could not append it.
    pub fn is_complete(self) -> bool {
        self.log_read && self.list_read
    }
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

    /// Records the origin of an own stream, unless that was done already. One that another
    /// entry has appended is appended again, as its record may expire before the stream ends.
    fn record_own(&mut self, now: Duration, origin: StreamOrigin) {
        if !self.known.get(&origin.request_id).is_some_and(|known| known.own) {
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

impl Router {
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
    /// stream began.
    pub(super) fn take_up_stream(&mut self, now: Duration, key: RequestKey) -> Step {
        if self.set_known_origin(key) {
            return self.queue_for_reservation(now, key);
        }
        let request = &self.requests[key];
        let request_id = request.resumes.clone();
        if request_id.is_none() && self.is_mixed(now, request) {
            return self.refuse_unknown_origin(key);
        }
        Step::LookUpOrigin { request_id, timeout: LOOKUP_TIMEOUT }
    }

    /// Continues after the store was read, as far as that was possible.
    pub(super) fn origin_looked_up(
        &mut self,
        now: Duration,
        key: RequestKey,
        lookup: OriginLookup,
    ) -> Step {
        if self.set_known_origin(key) {
            return self.queue_for_reservation(now, key);
        }
        let only = self.only_version(now, key).filter(|_| lookup.is_complete());
        if only.is_none() {
            return self.refuse_unknown_origin(key);
        }
        // Another version may be listed before there is room for the request.
        self.requests[key].begun_version = only;
        self.queue_for_reservation(now, key)
    }

    /// Sets the version at which the stream began, if it is known. Returns true if so.
    fn set_known_origin(&mut self, key: RequestKey) -> bool {
        let request = &mut self.requests[key];
        let resumes = request.resumes.as_deref();
        request.begun_version =
            resumes.and_then(|resumes| self.stream_origins.version(resumes).cloned());
        request.begun_version.is_some()
    }

    /// Refuses a request that takes up a stream whose version is not known: it could continue
    /// at another one.
    fn refuse_unknown_origin(&self, key: RequestKey) -> Step {
        let outcome = self.requests[key].outcome();
        Step::Refuse(Refusal::with_outcome(RefusalReason::VersionUnavailable, outcome))
    }

    /// The version that alone can have begun the stream of a request, if that is certain. The
    /// instance list must have been read just now.
    fn only_version(&self, now: Duration, key: RequestKey) -> Option<CompactString> {
        let request = &self.requests[key];
        let versions = self.versions_that_served(now, &request.service, request.route().timeout);
        let mut versions = versions?.into_iter();
        versions.next().filter(|_| versions.next().is_none()).cloned()
    }

    /// True if engines of several versions may have sent events of streams in flight.
    fn is_mixed(&self, now: Duration, request: &Request) -> bool {
        let period = request.route().timeout;
        let known = self.versions_that_served(now, &request.service, period);
        let history = self.version_histories.get(&request.service);
        let listed = history.is_some_and(|history| history.is_mixed(now, period));
        listed || known.is_some_and(|versions| versions.len() > 1)
    }
}
