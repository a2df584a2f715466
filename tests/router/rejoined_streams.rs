//! Callers take up streams after their entries were killed. What the store holds outlasts the
//! entries: the instance list, the log of origins and the record of versions.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboodoor::router::Event;
use bamboodoor::router::Step;
use bamboodoor::router::instance_list::InstanceState;
use bamboodoor::router::request::IncomingRequest;
use bamboodoor::router::request::RequestKey;
use bamboodoor::router::store_era::StoreEra;
use bamboodoor::router::stream_origins::OriginLookup;
use bamboodoor::router::stream_origins::StreamOrigin;
use bamboodoor::router::upstreams::ListedUpstream;
use bamboodoor::router::upstreams::PoolRole;
use bamboodoor::router::version_history::ServiceVersions;

use crate::harness::ENGINES;
use crate::harness::Harness;
use crate::harness::incoming;
use crate::harness::ms;
use crate::harness::reserved;
use crate::harness::target;
use crate::harness::upstream;

/// Longer than any stream lasts.
const LONGEST_STREAM: Duration = Duration::from_secs(15);
/// Id of the request that brings the first event of the stream.
const FIRST: &str = "first";

const COMPLETE: OriginLookup = OriginLookup { log_read: true, list_read: true };
const NO_LOG: OriginLookup = OriginLookup { log_read: false, list_read: true };
const NO_LIST: OriginLookup = OriginLookup { log_read: true, list_read: false };

/// Store that all entries share.
#[derive(Default)]
struct Store {
    now: Duration,
    list: BTreeMap<String, ListedUpstream>,
    origins: Vec<StreamOrigin>,
    versions: Vec<ServiceVersions>,
}

impl Store {
    /// Lists one prefill and two decode engines of a version.
    fn list_engines(&mut self, version: &str) {
        let roles = [("p", PoolRole::Prefill), ("d", PoolRole::Decode), ("e", PoolRole::Decode)];
        for (prefix, role) in roles {
            let id = format!("{prefix}-{version}");
            let listed = ListedUpstream { version: version.into(), ..upstream(&id, ENGINES, role) };
            self.list.insert(id, listed);
        }
    }

    fn remove_engines(&mut self, version: &str) {
        self.list.retain(|_, listed| listed.version != version);
    }

    /// Starts an entry that has read the list, but not the record of versions.
    fn start_entry(&self) -> Harness {
        let mut entry = Harness::new(Vec::new());
        entry.now = self.now;
        self.show_list(&mut entry);
        entry
    }

    /// Has an entry read the list up to now.
    fn show_list(&self, entry: &mut Harness) {
        entry.now = entry.now.max(self.now);
        let known: Vec<_> = entry.router.upstreams().ids().cloned().collect();
        for id in known.iter().filter(|id| !self.list.contains_key(id.as_str())) {
            entry.apply_record(id, InstanceState::Removed);
        }
        for listed in self.list.values() {
            entry.list_upstream(listed.clone());
        }
    }

    /// Has an entry read the record of versions.
    fn show_versions(&self, entry: &mut Harness) {
        entry.router.set_recorded_versions(entry.now, self.versions.clone());
    }

    /// Has an entry, as the holder of the lease, write the record of versions.
    fn write_versions(&mut self, holder: &mut Harness) {
        for update in holder.router.versions_to_record(holder.now) {
            self.versions.retain(|held| held.service != update.service);
            self.versions.push(update.clone());
            holder.router.set_recorded_service(update);
        }
    }

    /// Has an entry append the origins of its streams.
    fn append_origins(&mut self, entry: &mut Harness) {
        self.origins.extend(entry.router.take_unsent_origins());
    }

    /// Passes time for the store and an entry, which keeps the record of versions.
    fn pass(&mut self, holder: &mut Harness, time: Duration) {
        self.now += time;
        holder.now = self.now;
        self.show_list(holder);
        self.write_versions(holder);
    }
}

/// Store with engines of `v1`, and the entry that holds the lease.
fn one_version() -> (Store, Harness) {
    let mut store = Store { now: ms(1_000), ..Store::default() };
    store.list_engines("v1");
    let mut entry = store.start_entry();
    store.show_versions(&mut entry);
    (store, entry)
}

/// Starts a stream at an engine and has it send an event. Returns the version of the engine.
fn start_stream(entry: &mut Harness) -> String {
    let incoming = IncomingRequest { id: FIRST.into(), ..incoming("/resumable/1") };
    let (key, _) = entry.start(incoming);
    send_first_event(entry, key)
}

fn send_first_event(entry: &mut Harness, key: RequestKey) -> String {
    entry.report(key, reserved());
    let step = entry.report(key, Event::Prefilled { handle: "handle".into() });
    entry.report(key, Event::ResponseStarted { status: 200 });
    entry.router.record_event(entry.now, key);
    target(&step).version.to_string()
}

/// Has a caller take up the stream after event 5.
fn take_up(entry: &mut Harness, resumes: Option<&str>) -> (RequestKey, Step) {
    let resumes = resumes.map(Into::into);
    entry.start(IncomingRequest { resume_after: Some(5), resumes, ..incoming("/resumable/2") })
}

/// Has a caller take up the stream at an entry that reads from the store what `lookup` says.
fn take_up_after_lookup(
    store: &Store,
    entry: &mut Harness,
    resumes: Option<&str>,
    lookup: OriginLookup,
) -> (RequestKey, Step) {
    let (key, step) = take_up(entry, resumes);
    if !matches!(step, Step::LookUpOrigin { .. }) {
        return (key, step);
    }
    if lookup.list_read {
        store.show_list(entry);
    }
    if lookup.log_read {
        entry.router.record_origins(entry.now, store.origins.clone());
    }
    let step = entry.report(key, Event::OriginsRead(lookup));
    (key, step)
}

/// Version at which a request goes on; `None` if it was refused.
fn version(step: &Step) -> Option<String> {
    match step {
        Step::Refuse(_) => None,
        step => Some(target(step).version.to_string()),
    }
}

/// What happens from the begin of a stream of `v1` until it is taken up.
struct Case {
    /// The entry had followed the list for as long as streams last.
    watched: bool,
    /// Engines of `v2` were listed before the stream began.
    mixed_before: bool,
    /// The entry lived until it had appended the origin, if it was to.
    appended: bool,
    /// The store has dropped the log since.
    expired: bool,
    /// The first entry is the only one that was killed; another one goes on.
    peer_survives: bool,
    /// Engines of `v2` are listed after the kill.
    mixed_after: bool,
    /// Engines of `v1` have left after the kill.
    left: bool,
    /// The new entry has read the record of versions.
    record_read: bool,
    /// What the new entry reads when the stream is taken up.
    lookup: OriginLookup,
    /// The caller names the first request.
    named: bool,
}

/// One version for long, all entries are killed, and the store answers all.
const ONE_VERSION: Case = Case {
    watched: true,
    mixed_before: false,
    appended: true,
    expired: false,
    peer_survives: false,
    mixed_after: false,
    left: false,
    record_read: true,
    lookup: COMPLETE,
    named: true,
};
/// Engines of two versions, all entries are killed, and the store answers all.
const TWO_VERSIONS: Case = Case { mixed_before: true, mixed_after: true, ..ONE_VERSION };

fn play(case: &Case) -> Option<String> {
    let (mut store, mut entry) = one_version();
    let mut peer = store.start_entry();
    if case.watched {
        store.pass(&mut entry, LONGEST_STREAM);
    }
    store.show_list(&mut peer);
    if case.mixed_before {
        store.list_engines("v2");
        store.pass(&mut entry, ms(100));
    }
    let mut entry = entry_with_stream_of_v1(&store);
    if case.appended && !case.expired {
        store.append_origins(&mut entry);
    }
    drop(entry);
    store.now += ms(2_000);
    if case.mixed_after {
        store.list_engines("v2");
    }
    if case.left {
        store.remove_engines("v1");
    }
    if !case.peer_survives {
        peer = store.start_entry();
    }
    if case.record_read {
        store.show_versions(&mut peer);
    }
    peer.now = store.now + ms(500);
    let resumes = case.named.then_some(FIRST);
    version(&take_up_after_lookup(&store, &mut peer, resumes, case.lookup).1)
}

/// Returns an entry whose stream began at an engine of `v1`.
fn entry_with_stream_of_v1(store: &Store) -> Harness {
    let mut entries = (0..100).map(|seed| start_with_seed(store, seed));
    entries
        .find_map(|mut entry| (start_stream(&mut entry) == "v1").then_some(entry))
        .expect("an engine of v1 is selected with some seed")
}

/// Starts an entry with another seed of its random numbers.
fn start_with_seed(store: &Store, seed: u64) -> Harness {
    let mut entry = Harness::with_seed(Vec::new(), seed);
    entry.now = store.now;
    store.show_list(&mut entry);
    store.show_versions(&mut entry);
    entry
}

macro_rules! taken_up {
    ($($name:ident: $case:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let expected: Option<&str> = $expected;
            assert_eq!(play(&$case).as_deref(), expected);
        }
    )*};
}

taken_up! {
    one_version_for_long: ONE_VERSION => Some("v1");
    one_version_without_the_id: Case { named: false, ..ONE_VERSION } => Some("v1");
    one_version_for_a_short_time: Case { watched: false, ..ONE_VERSION } => None;
    one_version_and_no_record_read: Case { record_read: false, ..ONE_VERSION } => None;
    one_version_and_no_log: Case { lookup: NO_LOG, ..ONE_VERSION } => None;
    one_version_and_no_list: Case { lookup: NO_LIST, ..ONE_VERSION } => None;
    another_version_came: Case { mixed_after: true, ..ONE_VERSION } => None;
    another_version_took_its_place: Case { mixed_after: true, left: true, ..ONE_VERSION } => None;
    another_version_took_its_place_without_the_id:
        Case { mixed_after: true, left: true, named: false, ..ONE_VERSION } => None;
    another_version_took_its_place_and_no_record_read:
        Case { mixed_after: true, left: true, record_read: false, ..ONE_VERSION } => None;
    another_version_took_its_place_soon:
        Case { watched: false, mixed_after: true, left: true, ..ONE_VERSION } => None;
    two_versions: TWO_VERSIONS => Some("v1");
    two_versions_without_the_id: Case { named: false, ..TWO_VERSIONS } => None;
    two_versions_and_no_list: Case { lookup: NO_LIST, ..TWO_VERSIONS } => Some("v1");
    two_versions_and_no_log: Case { lookup: NO_LOG, ..TWO_VERSIONS } => None;
    two_versions_and_killed_at_once: Case { appended: false, ..TWO_VERSIONS } => None;
    two_versions_and_an_expired_log: Case { expired: true, ..TWO_VERSIONS } => None;
    the_old_engines_left: Case { left: true, ..TWO_VERSIONS } => None;
    the_old_engines_left_and_killed_at_once:
        Case { left: true, appended: false, ..TWO_VERSIONS } => None;
    the_old_engines_left_and_an_expired_log:
        Case { left: true, expired: true, ..TWO_VERSIONS } => None;
    the_old_engines_left_and_no_log: Case { left: true, lookup: NO_LOG, ..TWO_VERSIONS } => None;
    the_old_engines_left_and_no_record_read:
        Case { left: true, record_read: false, appended: false, ..TWO_VERSIONS } => None;
    a_peer_with_one_version: Case { peer_survives: true, ..ONE_VERSION } => Some("v1");
    a_peer_with_one_version_that_has_not_read_the_record:
        Case { peer_survives: true, record_read: false, ..ONE_VERSION } => Some("v1");
    a_peer_with_one_version_and_no_list:
        Case { peer_survives: true, lookup: NO_LIST, ..ONE_VERSION } => None;
    a_peer_with_one_version_and_no_log:
        Case { peer_survives: true, lookup: NO_LOG, ..ONE_VERSION } => None;
    a_peer_that_lists_the_second_version_late:
        Case { peer_survives: true, appended: false, ..TWO_VERSIONS } => None;
    a_peer_that_lists_the_second_version_late_and_the_old_engines_left:
        Case { peer_survives: true, appended: false, left: true, ..TWO_VERSIONS } => None;
    a_peer_with_two_versions: Case { peer_survives: true, ..TWO_VERSIONS } => Some("v1");
}

/// The release is over for as long as streams last.
#[test]
fn streams_are_taken_up_after_a_release() {
    let (mut store, mut entry) = one_version();
    store.pass(&mut entry, LONGEST_STREAM);
    store.list_engines("v2");
    store.remove_engines("v1");
    store.pass(&mut entry, ms(1_000));
    assert_eq!(store.versions[0].versions.len(), 2, "{:?}", store.versions);
    store.pass(&mut entry, LONGEST_STREAM);
    assert_eq!(start_stream(&mut entry), "v2");
    let mut entry = store.start_entry();
    store.show_versions(&mut entry);
    let (_, step) = take_up_after_lookup(&store, &mut entry, Some(FIRST), COMPLETE);
    assert_eq!(version(&step).as_deref(), Some("v2"));
}

/// Several kills within one release: no new holder of the lease removes the first version,
/// though it has never listed it.
#[test]
fn a_version_stays_recorded_while_its_streams_may_be_taken_up() {
    let (mut store, mut entry) = one_version();
    store.pass(&mut entry, LONGEST_STREAM);
    store.list_engines("v2");
    store.remove_engines("v1");
    for _ in 0..4 {
        let mut entry = store.start_entry();
        store.show_versions(&mut entry);
        store.pass(&mut entry, ms(3_000));
        assert_eq!(store.versions[0].versions.len(), 2, "{:?}", store.versions);
        let (_, step) = take_up_after_lookup(&store, &mut entry, Some(FIRST), COMPLETE);
        assert_eq!(version(&step), None);
    }
}

/// The entry lists one version; the record tells that there were two.
#[test]
fn a_restarted_entry_appends_origins_while_others_may_have_begun_at_another_version() {
    let (mut store, mut entry) = one_version();
    store.pass(&mut entry, LONGEST_STREAM);
    store.list_engines("v2");
    store.remove_engines("v1");
    store.pass(&mut entry, ms(1_000));
    let mut entry = store.start_entry();
    start_stream(&mut entry);
    assert!(!entry.router.has_unsent_origins());
    store.show_versions(&mut entry);
    store.append_origins(&mut entry);
    assert_eq!(store.origins, [StreamOrigin { request_id: FIRST.into(), version: "v2".into() }]);
    let mut next = store.start_entry();
    let (_, step) = take_up_after_lookup(&store, &mut next, Some(FIRST), COMPLETE);
    assert_eq!(version(&step).as_deref(), Some("v2"));
}

/// Another version is listed after the entry has found out that there is only one.
#[test]
fn a_stream_that_waits_for_room_stays_at_the_only_version_that_was_listed() {
    for seed in 0..20 {
        let (mut store, mut entry) = one_version();
        store.pass(&mut entry, LONGEST_STREAM);
        let mut entry = start_with_seed(&store, seed);
        let (key, step) = take_up_after_lookup(&store, &mut entry, Some(FIRST), COMPLETE);
        assert_eq!(version(&step).as_deref(), Some("v1"));
        store.list_engines("v2");
        store.show_list(&mut entry);
        let step = entry.report(key, Event::ReservationRejected);
        if let Step::Reserve { target, .. } = step {
            assert_eq!(target.version, "v1", "seed {seed}");
        }
    }
}

/// The stream is taken up twice: the log may have dropped the record of the first entry.
#[test]
fn an_entry_appends_the_origin_of_a_stream_that_it_goes_on_with() {
    let (mut store, mut entry) = one_version();
    store.list_engines("v2");
    store.pass(&mut entry, ms(100));
    let mut entry = entry_with_stream_of_v1(&store);
    store.append_origins(&mut entry);
    let mut second = store.start_entry();
    let (key, _) = take_up_after_lookup(&store, &mut second, Some(FIRST), COMPLETE);
    assert_eq!(send_first_event(&mut second, key), "v1");
    store.origins.clear();
    store.append_origins(&mut second);
    let mut third = store.start_entry();
    let (_, step) = take_up_after_lookup(&store, &mut third, Some(FIRST), COMPLETE);
    assert_eq!(version(&step).as_deref(), Some("v1"));
}

macro_rules! missed_changes {
    ($($name:ident: $miss:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut store, mut entry) = one_version();
            store.pass(&mut entry, LONGEST_STREAM);
            let miss: fn(&mut Harness) = $miss;
            miss(&mut entry);
            store.show_list(&mut entry);
            let (_, step) = take_up_after_lookup(&store, &mut entry, Some(FIRST), COMPLETE);
            assert_eq!(version(&step), None);
            store.versions.clear();
            store.show_versions(&mut entry);
            let (_, step) = take_up_after_lookup(&store, &mut entry, Some(FIRST), COMPLETE);
            assert_eq!(version(&step), None);
            store.pass(&mut entry, LONGEST_STREAM);
            let (_, step) = take_up_after_lookup(&store, &mut entry, Some(FIRST), COMPLETE);
            assert_eq!(version(&step).as_deref(), Some("v1"));
        }
    )*};
}

missed_changes! {
    an_entry_that_missed_changes_of_the_list_knows_nothing_of_them:
        |entry| entry.router.record_list_gap();
    an_entry_whose_store_came_back_from_a_copy_knows_nothing_of_it: |entry| {
        entry.router.record_store_era(entry.now, StoreEra(1));
        entry.router.record_store_era(entry.now, StoreEra(2));
    };
}

/// Only what the entry has seen all the time shortens the record.
#[test]
fn a_record_is_begun_only_by_an_entry_that_has_followed_the_list() {
    let (mut store, mut entry) = one_version();
    store.pass(&mut entry, LONGEST_STREAM / 2);
    assert!(store.versions.is_empty());
    store.pass(&mut entry, LONGEST_STREAM / 2);
    assert_eq!(store.versions.len(), 1);
    assert!(entry.router.versions_to_record(entry.now).is_empty());
}
