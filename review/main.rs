//! Plays a case of the review: stand-ins of the store, the replicas and the clients, and the
//! entries of bamboodoor as processes.
//!
//! `review-standin CASE FOLDER RECORD`: exits with 1 if a rule was broken, 0 if it held, and 2 if
//! the case could not run. With `TROUBLE=0` it plays without the disruption.

mod client;
mod failed_replacement;
mod fleet;
mod foreign_entries;
mod http;
mod late_heartbeat;
mod late_rejection;
mod plain;
mod record;
mod replica;
mod store;

use std::sync::Arc;
use std::time::Duration;

use crate::replica::GreyFailure;

/// A script may take two minutes.
const LONGEST_PLAY: Duration = Duration::from_secs(116);

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = &words[..] else {
        eprintln!("usage: review-standin CASE FOLDER RECORD");
        std::process::exit(2);
    };
    let trouble =
        std::env::var("TROUBLE").is_ok_and(|it| it == "0").then_some(false).unwrap_or(true);
    let seed = std::env::var("SEED").ok().and_then(|it| it.parse().ok());
    let seed = seed.unwrap_or_else(|| u64::from(std::process::id()));
    let record = Arc::new(record::Record::create(record));
    record.add("play", case, format!("trouble: {trouble}, seed {seed}"));
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST_PLAY);
        eprintln!("could not run: the play took too long");
        std::process::exit(2);
    });
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "late-rejection" => late_rejection::play(folder, record, trouble, seed),
        "failed-replacement" => {
            failed_replacement::play(folder, record, trouble, seed, GreyFailure::Error)
        }
        "broken-replacement" => {
            failed_replacement::play(folder, record, trouble, seed, GreyFailure::Reset)
        }
        "foreign-entries" => foreign_entries::play(folder, record, trouble, seed),
        "late-heartbeat" => late_heartbeat::play(folder, record, trouble, seed),
        _ => panic!("there is no case {case}"),
    });
    std::process::exit(match played {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    });
}
