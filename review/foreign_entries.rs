//! Case: another writer puts some entries into the list of replicas, and all entries of bamboodoor
//! are killed and start again.

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
use crate::store::Store;

/// Number and size of the entries of the other writer; a record may have 262,144 bytes.
const FOREIGN_ENTRIES: usize = 6;
const FOREIGN_BYTES: usize = 250_000;
/// `kill_all`: how long all processes are down.
const DOWN: Duration = Duration::from_millis(1_300);
/// `recoverS` of the small deployment.
const RECOVER: Duration = Duration::from_secs(12);
/// Traffic before and after the fault.
const BEFORE: Duration = Duration::from_secs(12);
const AFTER: Duration = Duration::from_secs(32);

/// Plays the case. Returns true if the rule held.
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
    let replicas: Vec<Running> = ZONES.iter().map(|zone| service.start(zone)).collect();
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
    let end = record.now() + BEFORE + DOWN + AFTER;
    clients.load(plain::write(), UNSAFE_PER_S, end);
    clients.load(plain::read(), SAFE_PER_S, end);
    std::thread::sleep(BEFORE / 2);
    if trouble {
        for number in 0..FOREIGN_ENTRIES {
            let (key, value) = (format!("copia {number}"), "x".repeat(FOREIGN_BYTES));
            store.put("keyed.servers", &key, Some(&value));
            record.add("foreign", &key, format!("{FOREIGN_BYTES} bytes that can't be read"));
        }
    }
    std::thread::sleep(BEFORE / 2);
    for entry in &mut entries {
        record.add("kill", &entry.name, "SIGKILL");
        entry.kill();
    }
    std::thread::sleep(DOWN);
    for entry in &mut entries {
        entry.end_bootstrap();
        entry.spawn();
        record.add("back", &entry.name, "started again");
    }
    let back = record.now();
    std::thread::sleep(Duration::from_secs(2));
    for entry in &entries {
        record.add("ready", &entry.name, entry.is_ready().to_string());
    }
    std::thread::sleep(end.saturating_sub(record.now()) + Duration::from_secs(3));
    replicas.iter().for_each(|it| it.is_over.store(true, Ordering::SeqCst));
    drop(entries);
    check(&record, back)
}

/// RECOVER: of the requests sent later than `recoverS` after the machines are back, less than a
/// quarter is served, though a quarter or more was before the final fault.
fn check(record: &Record, back: Duration) -> bool {
    let fault = record.of("kill").first().map_or(back, |event| event.at);
    let served: std::collections::HashSet<String> = record
        .of("answer")
        .into_iter()
        .filter(|event| event.detail == "200 whole")
        .map(|event| event.id)
        .collect();
    let share = |from: Duration, to: Duration| {
        let sent: Vec<_> =
            record.of("sent").into_iter().filter(|it| (from..to).contains(&it.at)).collect();
        let done = sent.iter().filter(|it| served.contains(&it.id)).count();
        done as f64 / sent.len().max(1) as f64
    };
    let before = share(Duration::ZERO, fault.saturating_sub(Duration::from_millis(1_500)));
    let after = share(back + RECOVER, Duration::MAX);
    let summary =
        format!("served {before:.3} before the fault, {after:.3} from recoverS after it on");
    record.add("summary", "", &summary);
    println!("{summary}");
    if before < 0.25 {
        panic!("less than a quarter was served before the fault: the play shows nothing");
    }
    let holds = after >= 0.25;
    if !holds {
        record.add("RECOVER", "", "less than a quarter is served");
    }
    holds
}
