//! Many clients send a booking of the largest allowed size at the same time. The platform kills
//! the entry if it exceeds its memory.

use std::fs::read_to_string;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Client, Entry, Record, Runs, Sent, Server};
use crate::fleet::{configuration, free_address, host, send_bookings, temporary_folder};
use crate::store::Store;

const SERVICE: &str = "desk";
const WORK: Duration = Duration::from_millis(150);
/// `maxBodyBytes` of the configuration.
const LARGEST_BODY: usize = 4_194_304;
/// `memoryMb` of the settings.
const MEMORY_KB: u64 = 110 * 1_024;
const LARGE_CLIENTS: usize = 32;
/// Clients that send small bookings all the time.
const SMALL_CLIENTS: u64 = 8;
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Unanswered requests from kept connections that break the rule.
const LOST_LIMIT: usize = 3;

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let folder = temporary_folder();
    let store_address = free_address(host(1));
    let store = Store::start(store_address);
    store.put("keyed.op", "config", configuration("unsafe", SERVICE).as_bytes());
    let runs = Runs::default();
    let _servers =
        ["i-a", "i-b", "i-c"].map(|id| Server::start(id, SERVICE, WORK, &store, &runs, record));
    let Some(entry) = Entry::start(11, store_address, &folder, record) else {
        return Verdict::NotRun;
    };
    sleep(Duration::from_secs(1));
    let entry_address = entry.address;
    let (peak_kb, watch_ends) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
    let watch = watch_memory(entry, &peak_kb, &watch_ends, record);
    let stop = Arc::new(AtomicBool::new(false));
    let pause = Duration::from_millis(20);
    let (small, small_clients) = send_bookings(entry_address, SMALL_CLIENTS, pause, &stop, record);
    sleep(Duration::from_secs(2));
    let large = send_large(entry_address, has_trouble, record);
    stop.store(true, Ordering::SeqCst);
    small_clients.into_iter().for_each(|client| client.join().unwrap_or_default());
    watch_ends.store(true, Ordering::SeqCst);
    let was_killed = watch.join().unwrap_or(false);
    let sent: Vec<Sent> = small.lock().unwrap().iter().chain(&large).cloned().collect();
    let begun = |id: &str| runs.lock().unwrap().iter().any(|run| run.request_id == id);
    let unanswered = sent.iter().filter(|it| it.result.starts_with("no answer"));
    let lost: Vec<&Sent> = unanswered.filter(|it| begun(&it.request_id)).collect();
    for request in &lost {
        record.line(&format!("LOST {}: a server runs it; {}", request.request_id, request.result));
    }
    record.line(&format!(
        "peak of the entry {} KB of {MEMORY_KB}; killed: {was_killed}; {} requests that servers \
         ran got no answer",
        peak_kb.load(Ordering::SeqCst),
        lost.len()
    ));
    let _ = std::fs::remove_dir_all(folder);
    if lost.len() > LOST_LIMIT { Verdict::Broken } else { Verdict::Held }
}

/// Has each client send a small booking, and then a large one on the same connection: all of them
/// at once, or one after the other without the trouble.
fn send_large(entry: std::net::SocketAddr, at_once: bool, record: &Arc<Record>) -> Vec<Sent> {
    record.line(&format!("{LARGE_CLIENTS} clients send {LARGEST_BODY} bytes; at once: {at_once}"));
    let barrier = Arc::new(Barrier::new(LARGE_CLIENTS));
    let turn = Arc::new(Mutex::new(()));
    let body = Arc::new(vec![b'x'; LARGEST_BODY]);
    let clients = (0..LARGE_CLIENTS).map(|number| {
        let (barrier, turn, body) = (barrier.clone(), turn.clone(), body.clone());
        let record = record.clone();
        thread::spawn(move || {
            let mut client = Client::new(entry);
            let mut send = |request_id: String, body: &[u8]| {
                let headers = [
                    ("Bamboodoor-Request-Id", request_id.as_str()),
                    ("Bamboodoor-Deadline-Ms", "1500"),
                ];
                let at = Instant::now();
                let answer = client.send("POST", "/book/2f", &headers, body, DEADLINE);
                let result = match answer {
                    Ok(answer) => answer.status().to_string(),
                    Err(error) => format!("no answer: {}", error.kind()),
                };
                record.line(&format!("client: {request_id}, {} bytes, {result}", body.len()));
                Sent { request_id, at, result }
            };
            let first = send(format!("a{number:015x}"), &[b'x'; 600]);
            barrier.wait();
            let _turn = (!at_once).then(|| turn.lock());
            let large = send(format!("b{number:015x}"), &body);
            [first, large]
        })
    });
    let clients: Vec<_> = clients.collect();
    clients.into_iter().flat_map(|client| client.join()).flatten().collect()
}

/// Kills the entry once it exceeds its memory, as the platform does. Returns true then.
fn watch_memory(
    mut entry: Entry,
    peak_kb: &Arc<AtomicU64>,
    ends: &Arc<AtomicBool>,
    record: &Arc<Record>,
) -> thread::JoinHandle<bool> {
    let (peak_kb, ends, record) = (peak_kb.clone(), ends.clone(), record.clone());
    let status = format!("/proc/{}/status", entry.process.id());
    thread::spawn(move || {
        while !ends.load(Ordering::SeqCst) {
            let text = read_to_string(&status).unwrap_or_default();
            let resident = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
            let resident_kb = resident.and_then(|it| it.trim().split(' ').next()?.parse().ok());
            let resident_kb: u64 = resident_kb.unwrap_or(0);
            peak_kb.fetch_max(resident_kb, Ordering::SeqCst);
            if resident_kb > MEMORY_KB {
                record.line(&format!("the platform kills the entry, which has {resident_kb} KB"));
                let _ = entry.process.kill();
                let _ = entry.process.wait();
                return true;
            }
            sleep(Duration::from_millis(1));
        }
        false
    })
}
