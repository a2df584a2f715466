//! Cases: an engine that is to replace a paused stream fails the request or breaks the stream off,
//! and the stream of the sound engine that had paused is cut.

use std::collections::HashMap;
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
use crate::late_rejection::BOUNDS;
use crate::late_rejection::CONFIGURATION;
use crate::late_rejection::ZONES;
use crate::record::Random;
use crate::record::Record;
use crate::replica::Grey;
use crate::replica::GreyFailure;
use crate::replica::Pauses;
use crate::replica::Replica;
use crate::replica::ReplicaSettings;
use crate::store::Store;

/// `srv_grey` of the site file: share of the replicas, and of their requests, and its length.
const GREY_SHARE: f64 = 0.14;
const GREY_REQUESTS: f64 = 0.45;
const GREY_TIME: Duration = Duration::from_millis(6_500);
/// Engines, half of them for prefills.
const ENGINES: usize = 14;
/// Share of the streams that pause once, and for how long. Callers wait for two seconds.
const PAUSED_STREAMS: f64 = 0.15;
/// The same where replacements break off, which uses up more of the retry budget.
const PAUSED_STREAMS_WITH_RESETS: f64 = 0.3;
const PAUSE: Duration = Duration::from_millis(1_300);
/// Clients for each entry, which keep their connections.
const CLIENTS: usize = 14;
/// Time from one grey spell to the next.
const GREY_PAUSE: Duration = Duration::from_millis(500);
const GREY_FROM: Duration = Duration::from_secs(12);
const LENGTH: Duration = Duration::from_secs(90);
/// Requests that a machine may lose so.
const ALLOWED: usize = 3;

/// Plays the case. Returns true if the rule held.
pub fn play(
    folder: &str,
    record: Arc<Record>,
    trouble: bool,
    seed: u64,
    failure: GreyFailure,
) -> bool {
    let random = Arc::new(Random::new(seed));
    let network = loopback_network(seed);
    let (store, store_address) = Store::start(&format!("{network}.1"));
    store.put("keyed.op", "config", Some(CONFIGURATION));
    let over = Arc::new(AtomicBool::new(false));
    let peers = Arc::new(Mutex::new(HashMap::new()));
    let paused_streams = match failure {
        GreyFailure::Error => PAUSED_STREAMS,
        GreyFailure::Reset => PAUSED_STREAMS_WITH_RESETS,
    };
    let engines: Vec<Arc<Replica>> = (0..ENGINES)
        .map(|index| {
            let engine = Replica::start(ReplicaSettings {
                ip: &format!("{network}.2"),
                id: format!("i-{}{index}", random.id()),
                service: "redator",
                zone: ZONES[index / 2 % ZONES.len()],
                stage: Some(if index % 2 == 0 { "prefill" } else { "decode" }),
                extra_late: None,
                pauses: Some(Pauses { share_of_streams: paused_streams, length: PAUSE }),
                peers: peers.clone(),
                record: record.clone(),
                random: random.clone(),
                work: Duration::ZERO,
            });
            let over = over.clone();
            engine.beat(store.clone(), move || over.load(Ordering::SeqCst));
            engine
        })
        .collect();
    let mut entries: Vec<Entry> = (0..3)
        .map(|index| {
            let (name, ip) =
                (format!("front-{}-1", ZONES[index]), format!("{network}.{}", 3 + index));
            Entry::start(folder, &name, &ip, ZONES[index], store_address, BOUNDS)
        })
        .collect();
    entries.iter().for_each(Entry::wait_ready);
    std::thread::sleep(Duration::from_secs(4));
    let fronts: Vec<_> = entries.iter().map(|entry| entry.front).collect();
    let next = AtomicUsize::new(0);
    let clients = Arc::new(Clients {
        host: "ficu95.example",
        fronts: fronts.clone(),
        record: record.clone(),
        random: random.clone(),
        next,
    });
    let kind = Kind {
        method: "POST",
        path: "/more/2f",
        deadline: Duration::from_secs(14),
        tokens: Some((5_200, 72)),
        body_bytes: 5_000,
        idempotent: true,
    };
    for front in &fronts {
        (0..CLIENTS).for_each(|_| clients.keep_asking(kind.clone(), *front, LENGTH));
    }
    std::thread::sleep(GREY_FROM.saturating_sub(record.now()));
    while record.now() + GREY_TIME < LENGTH {
        if trouble {
            turn_grey(&engines, &random, Grey { failure, share_of_requests: GREY_REQUESTS });
        }
        std::thread::sleep(GREY_TIME);
        engines.iter().for_each(|engine| engine.set_grey(None));
        std::thread::sleep(GREY_PAUSE);
    }
    std::thread::sleep(LENGTH.saturating_sub(record.now()) + Duration::from_secs(15));
    over.store(true, Ordering::SeqCst);
    let ended = entries.iter_mut().any(Entry::has_ended);
    drop(entries);
    if ended {
        panic!("an entry has ended by itself");
    }
    check(&record, &fronts)
}

/// Makes a share of the engines grey, drawn from those that decode.
fn turn_grey(engines: &[Arc<Replica>], random: &Random, grey: Grey) {
    let mut drawn: Vec<&Arc<Replica>> = engines.iter().filter(|engine| engine.decodes()).collect();
    let count = (ENGINES as f64 * GREY_SHARE).round() as usize;
    while drawn.len() > count {
        drawn.swap_remove((random.unit() * drawn.len() as f64) as usize);
    }
    drawn.into_iter().for_each(|engine| engine.set_grey(Some(grey)));
}

/// LOST: a machine in touch passes a request from a kept connection on to a sound replica and closes
/// that connection without an answer, more than three times. Counted are answers that end early
/// while a replica was at work that was sound all the while, and whose run ended with the
/// connection that the entry closed.
fn check(record: &Record, fronts: &[std::net::SocketAddr]) -> bool {
    let grey = grey_spells(record);
    let is_sound = |run: &str, from: Duration, to: Duration| {
        !grey.iter().any(|(id, begin, end)| run.contains(id) && *begin < to && from < *end)
    };
    let closed: HashMap<String, String> = record
        .of("run-end")
        .into_iter()
        .filter(|it| it.detail.ends_with("closed by the caller"))
        .map(|it| (it.id, it.detail))
        .collect();
    let answers: HashMap<String, (Duration, String)> =
        record.of("answer").into_iter().map(|it| (it.id, (it.at, it.detail))).collect();
    let (mut holds, mut texts) = (true, Vec::new());
    for front in fronts {
        let to = format!("to {front} on a kept connection");
        let (mut sent, mut lost) = (0, 0);
        for request in record.of("sent").into_iter().filter(|it| it.detail == to) {
            sent += 1;
            let Some((at, answer)) = answers.get(&request.id) else { continue };
            let Some(run) = closed.get(&request.id) else { continue };
            if !is_sound(run, request.at, *at) {
                continue;
            }
            if answer.ends_with("cut") && *at < request.at + Duration::from_secs(9) {
                lost += 1;
                let after = (*at - request.at).as_millis();
                record.add("LOST", &request.id, format!("cut after {after} ms; {run}"));
            }
        }
        holds &= lost <= ALLOWED;
        texts.push(format!("{lost} of {sent}"));
    }
    let served = answers.values().filter(|(_, it)| it == "200 whole").count();
    let summary =
        format!("{served} served whole; lost at sound replicas by entry: {}", texts.join(", "));
    record.add("summary", "", &summary);
    println!("{summary}");
    if served < 100 {
        panic!("too little was served: the play shows nothing");
    }
    holds
}

/// Engines that were grey, each with the begin and the end of the spell.
fn grey_spells(record: &Record) -> Vec<(String, Duration, Duration)> {
    let ends = record.of("sound");
    let end_of = |id: &str, begin: Duration| {
        let end = ends.iter().find(|it| it.id == id && it.at >= begin);
        end.map_or(Duration::MAX, |it| it.at)
    };
    let begins = record.of("grey").into_iter();
    begins.map(|it| (it.id.clone(), it.at, end_of(&it.id, it.at))).collect()
}
