//! Case: a late second copy of an engine's rejection of a reservation comes where the answer to a
//! request is expected that must not run twice.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::client::Clients;
use crate::client::Kind;
use crate::fleet::Entry;
use crate::fleet::loopback_network;
use crate::record::Random;
use crate::record::Record;
use crate::replica::ExtraLate;
use crate::replica::Replica;
use crate::replica::ReplicaSettings;
use crate::store::Store;

pub const ZONES: [&str; 3] = ["petrolina", "juazeiro", "caruaru"];
/// `garble` `extra late` of the site file: share of the replicas, of the answers, and its length.
const GARBLED_SHARE: f64 = 0.6;
const GARBLED_ANSWERS: f64 = 0.03;
const GARBLE_TIME: Duration = Duration::from_secs(5);
/// Requests a second, those that may run once, and those that may be resumed.
const ONCE_PER_S: f64 = 28.0;
const RESUMABLE_PER_S: f64 = 10.0;
const LENGTH: Duration = Duration::from_secs(80);
pub const BOUNDS: &str = "seedLagS = 3\nreuseS = 2\nstableMs = 3000\nackMs = 4000\nsyncS = 4\n\
    drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\napplyMs = 2000\ndowngradeMs = 250\n\
    maxStretchMs = 5000\nretryRatio = 0.2\nretryWindowS = 10\nretrySlack = 58\nrecoverS = 12\n\
    transitMs = 120\nretryAfterS = 7.4\nrequireFence = true\nleaseMs = 3000\nthawMs = 300";
/// Configuration with a route for streams that run once, and one for streams that may be resumed.
pub const CONFIGURATION: &str = r#"{"version":7,"routes":[
{"name":"r-once","host":"ficu95.example","pathPrefix":"/once/","kind":"stream","timeoutMs":14000,"sloMs":900,"priority":1,"service":"redator","attempts":1,"sticky":true,"canResume":false,"gapTargetMs":300},
{"name":"r-more","host":"ficu95.example","pathPrefix":"/more/","kind":"stream","timeoutMs":14000,"sloMs":900,"priority":1,"service":"redator","attempts":2,"sticky":true,"canResume":true,"gapTargetMs":300}],
"services":[{"name":"redator","healthPath":"/healthz","maxConns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":51867,"kvTokenBytes":18432,"linkMbps":200000.0,"moves":true,"backups":true,"stride":7,"most":12,"kvHoldS":0.5,"switchS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Plays the case. Returns true if the rules held.
pub fn play(folder: &str, record: Arc<Record>, trouble: bool, seed: u64) -> bool {
    let random = Arc::new(Random::new(seed));
    let network = loopback_network(seed);
    let (store, store_address) = Store::start(&format!("{network}.1"));
    store.put("keyed.op", "config", Some(CONFIGURATION));
    let over = Arc::new(AtomicBool::new(false));
    let peers = Arc::new(Mutex::new(HashMap::new()));
    let spans = (0..12).map(|n| Duration::from_secs(12 + 6 * n));
    let spans: Vec<_> = spans.map(|from| (from, from + GARBLE_TIME)).collect();
    let engines: Vec<&str> =
        (0..10).map(|n| if n % 2 == 0 { "prefill" } else { "decode" }).collect();
    let decode_engines = engines.iter().filter(|stage| **stage == "decode").count();
    let mut garbled = (decode_engines as f64 * GARBLED_SHARE) as usize;
    for (index, stage) in engines.into_iter().enumerate() {
        let is_garbled = trouble && stage == "decode" && garbled > 0;
        garbled -= usize::from(is_garbled);
        let extra_late = is_garbled
            .then(|| ExtraLate { share_of_answers: GARBLED_ANSWERS, spans: spans.clone() });
        let replica = Replica::start(ReplicaSettings {
            ip: &format!("{network}.2"),
            id: format!("i-{}{index}", random.id()),
            service: "redator",
            zone: ZONES[index % ZONES.len()],
            stage: Some(stage),
            extra_late,
            pauses: None,
            peers: peers.clone(),
            record: record.clone(),
            random: random.clone(),
            work: Duration::ZERO,
        });
        record.add("replica", &replica.id, format!("{stage}, garbled: {is_garbled}"));
        let over = over.clone();
        replica.beat(store.clone(), move || over.load(Ordering::SeqCst));
    }
    let mut entries: Vec<Entry> = (0..3)
        .map(|index| {
            let (name, ip) =
                (format!("front-{}-1", ZONES[index]), format!("{network}.{}", 3 + index));
            Entry::start(folder, &name, &ip, ZONES[index], store_address, BOUNDS)
        })
        .collect();
    entries.iter().for_each(Entry::wait_ready);
    std::thread::sleep(Duration::from_secs(4));
    let clients = Arc::new(Clients {
        host: "ficu95.example",
        fronts: entries.iter().map(|entry| entry.front).collect(),
        record: record.clone(),
        random,
        next: AtomicUsize::new(0),
    });
    let once = Kind {
        method: "POST",
        path: "/once/2f",
        deadline: Duration::from_secs(14),
        tokens: Some((5_200, 72)),
        body_bytes: 5_000,
        idempotent: false,
    };
    let more = Kind { path: "/more/2f", idempotent: true, ..once.clone() };
    clients.load(once, ONCE_PER_S, LENGTH);
    clients.load(more, RESUMABLE_PER_S, LENGTH);
    std::thread::sleep(LENGTH.saturating_sub(record.now()) + Duration::from_secs(16));
    over.store(true, Ordering::SeqCst);
    let ended = entries.iter_mut().any(Entry::has_ended);
    drop(entries);
    if ended {
        panic!("an entry has ended by itself");
    }
    check(&record)
}

/// TWICE: a request that isn't idempotent runs more than once. REFUSED: it is answered 429 or 503
/// (or 408, 421) and has run, or runs later.
fn check(record: &Record) -> bool {
    let sent = record.of("sent");
    let once: HashSet<&str> = sent
        .iter()
        .filter(|event| event.detail.ends_with("may run once"))
        .map(|event| event.id.as_str())
        .collect();
    let mut runs: HashMap<String, usize> = HashMap::new();
    for run in record.of("run") {
        *runs.entry(run.id).or_default() += 1;
    }
    let answers = record.of("answer");
    let served = answers.iter().filter(|it| it.detail == "200 whole").count();
    let mut broken = 0;
    for (id, runs) in runs.iter().filter(|(id, runs)| **runs > 1 && once.contains(id.as_str())) {
        broken += 1;
        record.add("TWICE", id, format!("ran {runs} times"));
    }
    for answer in answers.iter().filter(|it| once.contains(it.id.as_str())) {
        let promised = ["408", "421", "429", "503"].iter().any(|it| answer.detail.starts_with(it));
        if promised && runs.contains_key(&answer.id) {
            broken += 1;
            record.add("REFUSED", &answer.id, format!("answered {}, and has run", answer.detail));
        }
    }
    let extras = record.of("extra").len();
    let summary = format!(
        "{} attempts, {served} served whole, {extras} late second answers, {broken} times broken",
        sent.len()
    );
    record.add("summary", "", &summary);
    println!("{summary}");
    if served * 4 < sent.len() {
        panic!("less than a quarter was served: the play shows nothing");
    }
    broken == 0
}
