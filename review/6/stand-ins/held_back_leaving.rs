//! A server of bookings is partitioned from the store for 5 s and returns. Later it leaves.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Entry, Record, Run, Runs, Sent, Server};
use crate::fleet::{configuration, free_address, host, send_bookings, temporary_folder};
use crate::store::Store;

const SERVICE: &str = "desk";
const DRAIN: Duration = Duration::from_millis(2_000);
/// A server that drains serves on for `DRAIN` and this long.
const LINGER: Duration = Duration::from_millis(1_000);
const CUT: Duration = Duration::from_secs(5);
/// Time from the end of the cut until the server leaves.
const SETTLED: Duration = Duration::from_secs(12);
const WORK: Duration = Duration::from_millis(150);

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let folder = temporary_folder();
    let store_address = free_address(host(1));
    let store = Store::start(store_address);
    store.put("keyed.op", "config", configuration("unsafe", SERVICE).as_bytes());
    let runs = Runs::default();
    let servers =
        ["i-a", "i-b", "i-c"].map(|id| Server::start(id, SERVICE, WORK, &store, &runs, record));
    let Some(entry) = Entry::start(11, store_address, &folder, record) else {
        return Verdict::NotRun;
    };
    sleep(Duration::from_secs(1));
    let stop = Arc::new(AtomicBool::new(false));
    let (sent, clients) = send_bookings(entry.address, 8, Duration::from_millis(20), &stop, record);
    sleep(Duration::from_secs(2));
    let leaving = &servers[0];
    if has_trouble {
        record.line("i-a is partitioned from the store");
        leaving.is_cut.store(true, Ordering::SeqCst);
        sleep(CUT);
        leaving.is_cut.store(false, Ordering::SeqCst);
        record.line("i-a reaches the store again");
    } else {
        sleep(CUT);
    }
    sleep(SETTLED);
    let accepted_at = leaving.drain(&store);
    record.line("store: accepts that i-a is draining");
    sleep(DRAIN + LINGER);
    leaving.exit(&store);
    record.line("i-a exits");
    sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap_or_default());
    drop(entry);
    let verdict = judge(&leaving.id, accepted_at, &runs, &sent.lock().unwrap(), record);
    let _ = std::fs::remove_dir_all(folder);
    verdict
}

/// Counts the bookings that clients sent and that reached the server too late.
fn judge(
    server: &str,
    accepted_at: Instant,
    runs: &Mutex<Vec<Run>>,
    sent: &[Sent],
    record: &Record,
) -> Verdict {
    let runs = runs.lock().unwrap();
    if !runs.iter().any(|run| run.server == server && run.at < accepted_at) {
        record.line("the server has run nothing before it left: the case could not run");
        return Verdict::NotRun;
    }
    let mut late_runs = 0;
    let mut lost_runs = 0;
    for run in runs.iter().filter(|run| run.server == server) {
        let after = run.at.saturating_duration_since(accepted_at);
        let request = sent.iter().find(|it| it.request_id == run.request_id);
        let result = request.map_or("none", |it| it.result.as_str());
        let is_late = after > DRAIN;
        late_runs += u32::from(is_late);
        lost_runs += u32::from(is_late && !run.completed);
        if is_late {
            let sent_after = request.map(|it| it.at.saturating_duration_since(accepted_at));
            record.line(&format!(
                "LATE {}: sent {} ms and reaches {server} {} ms after the store accepted that it \
                 drains; run completed: {}; the client got: {result}",
                run.request_id,
                sent_after.unwrap_or_default().as_millis(),
                after.as_millis(),
                run.completed
            ));
        }
    }
    record.line(&format!(
        "{late_runs} bookings reached {server} later than {} ms, {lost_runs} of them were cut off",
        DRAIN.as_millis()
    ));
    if late_runs > 0 { Verdict::Broken } else { Verdict::Held }
}
