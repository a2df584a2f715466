//! Case: the store carries out a heartbeat of a replica late, after the replica has reported that
//! it is draining.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::client::Clients;
use crate::fleet::Entry;
use crate::fleet::loopback_network;
use crate::late_rejection::BOUNDS;
use crate::late_rejection::ZONES;
use crate::plain;
use crate::plain::CONFIGURATION;
use crate::plain::Running;
use crate::plain::SAFE_PER_S;
use crate::plain::Service;
use crate::plain::UNSAFE_PER_S;
use crate::record::Random;
use crate::record::Record;
use crate::replica::HEARTBEAT;
use crate::store::Store;

/// `drainMs` of the small deployment.
const DRAIN: Duration = Duration::from_millis(2_000);
/// `stableMs`: time without disruption after which the store is stable.
const STABLE: Duration = Duration::from_millis(3_000);
/// How long a leaving replica serves beyond `drainMs`.
const LINGER: Duration = Duration::from_millis(1_000);
/// Longest and shortest delay of a write without a response that is carried out late: `done 1 to
/// 6 s later`, and after the draining report.
const LATE: (f64, f64) = (4.4, 6.0);
/// Number of replicas that are replaced, one after the other.
const RELEASES: usize = 9;
/// Time from one replacement to the next.
const PERIOD: Duration = Duration::from_secs(9);
/// Plays the case. Returns true if the rules held.
pub fn play(folder: &str, record: Arc<Record>, trouble: bool, seed: u64) -> bool {
    let random = Arc::new(Random::new(seed));
    let network = loopback_network(seed);
    let (store, store_address) = Store::start(&format!("{network}.1"));
    store.put("keyed.op", "config", Some(CONFIGURATION));
    let service = Service {
        ip: format!("{network}.2"),
        store: store.clone(),
        record: record.clone(),
        random: random.clone(),
    };
    let mut replicas: Vec<Running> = ZONES.iter().map(|zone| service.start(zone)).collect();
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
        random: random.clone(),
        next: AtomicUsize::new(0),
    });
    let begun = record.now();
    let end = begun + PERIOD * RELEASES as u32 + Duration::from_secs(2);
    clients.load(plain::write(), UNSAFE_PER_S, end);
    clients.load(plain::read(), SAFE_PER_S, end);
    std::thread::sleep(Duration::from_secs(2));
    for release in 0..RELEASES {
        let begun = record.now();
        // The new one starts first.
        let index = release % replicas.len();
        let old = std::mem::replace(&mut replicas[index], service.start(ZONES[index]));
        std::thread::sleep(Duration::from_secs(1));
        let late = LATE.0 + (LATE.1 - LATE.0) * random.unit();
        service.release(old, trouble, Duration::from_secs_f64(late));
        std::thread::sleep(PERIOD.saturating_sub(record.now() - begun));
    }
    std::thread::sleep(end.saturating_sub(record.now()) + Duration::from_secs(3));
    replicas.iter().for_each(|it| it.is_over.store(true, Ordering::SeqCst));
    let ended = entries.iter_mut().any(Entry::has_ended);
    drop(entries);
    if ended {
        panic!("an entry has ended by itself");
    }
    check(&record)
}

impl Service {
    /// Has a replica leave, as the pages say: it reports `draining`, serves on for `drainMs` and a
    /// little longer, and ends. Its last heartbeat before that got no response; with trouble the
    /// store carries it out late.
    fn release(&self, running: Running, trouble: bool, late: Duration) {
        let replica = running.replica;
        let heartbeat = replica.list_entry(99);
        self.record.add("beat", &replica.id, "state ready, sent; the store gives no response");
        if trouble {
            let (store, record, id) = (self.store.clone(), self.record.clone(), replica.id.clone());
            std::thread::spawn(move || {
                std::thread::sleep(late);
                store.put("keyed.servers", &id, Some(&heartbeat));
                record.add("late-beat", &id, "state ready, carried out");
            });
        }
        std::thread::sleep(STABLE + Duration::from_millis(200));
        *replica.service_state.lock().unwrap() = "draining";
        self.store.put("keyed.servers", &replica.id, Some(&replica.list_entry(200)));
        self.record.add("draining", &replica.id, "acknowledged by the store");
        std::thread::sleep(DRAIN + LINGER);
        running.is_over.store(true, Ordering::SeqCst);
        replica.end();
        self.store.put("keyed.servers", &replica.id, None);
        self.record.add("exit", &replica.id, "after drainMs and a little longer");
        std::thread::sleep(HEARTBEAT);
    }
}

/// DRAIN: a request reaches a replica later than `drainMs` after the store acknowledged that it is
/// draining.
fn check(record: &Record) -> bool {
    let drained: HashMap<String, Duration> =
        record.of("draining").into_iter().map(|event| (event.id, event.at)).collect();
    let answers: HashMap<String, String> =
        record.of("answer").into_iter().map(|event| (event.id, event.detail)).collect();
    let (mut broken, mut lost) = (0, HashSet::new());
    for run in record.of("run") {
        let replica = run.detail.trim_start_matches("at ").to_string();
        let Some(at) = drained.get(&replica).filter(|at| run.at > **at + DRAIN) else { continue };
        broken += 1;
        let after = (run.at - *at).as_millis();
        let answer = answers.get(&run.id).cloned().unwrap_or_default();
        record.add(
            "DRAIN",
            &run.id,
            format!("ran {after} ms after the draining of {replica}, answered {answer}"),
        );
        if !answer.starts_with("200") {
            lost.insert(run.id);
        }
    }
    let sent = record.of("sent").len();
    let served = answers.values().filter(|it| *it == "200 whole").count();
    let summary = format!(
        "{sent} attempts, {served} served whole, {broken} ran at replicas that had left, {} of them lost",
        lost.len()
    );
    record.add("summary", "", &summary);
    println!("{summary}");
    if served * 2 < sent {
        panic!("less than half was served: the play shows nothing");
    }
    broken == 0
}
