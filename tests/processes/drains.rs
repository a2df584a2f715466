//! Planned stops, and upstreams that leave.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::FleetConfig;
use crate::fleet::eventually;
use standins::caller::Caller;
use standins::caller::StreamedCompletion;
use standins::engine::EngineConfig;
use tokio::task::JoinHandle;

const MAX_TOKENS: u32 = 60;
const REQUESTS: usize = 6;

fn slow_engine() -> EngineConfig {
    EngineConfig {
        step_base: Duration::from_millis(15),
        kv_eviction: Duration::from_secs(5),
        ..EngineConfig::default()
    }
}

fn prompt(number: usize) -> String {
    format!("caption reel {number}\n{}", "frame of sheep\n".repeat(40))
}

fn ask(fleet: &Fleet) -> Vec<JoinHandle<(String, StreamedCompletion)>> {
    (0..REQUESTS)
        .map(|number| {
            let caller = fleet.caller(0);
            tokio::spawn(async move {
                let prompt = prompt(number);
                let answer = caller.stream_completion("redator", &prompt, MAX_TOKENS, "any").await;
                (prompt, answer)
            })
        })
        .collect()
}

async fn all_whole(asked: Vec<JoinHandle<(String, StreamedCompletion)>>) {
    for one in asked {
        let (prompt, answer) = one.await.expect("the caller does not panic");
        assert_eq!(answer.text, standins::engine::completion(&prompt, MAX_TOKENS));
        assert!(answer.done, "the end of the stream came");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_stops_as_planned_cuts_off_nothing() {
    let mut fleet =
        Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    let asked = ask(&fleet);
    eventually("streams run", async || fleet.held_blocks() > 0).await;
    fleet.entries[0].signal("TERM");
    all_whole(asked).await;
    assert!(fleet.entries[0].wait_exit(), "the entry exits by itself");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_stops_as_planned_cuts_off_nothing() {
    let mut fleet =
        Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    let asked = ask(&fleet);
    eventually("streams run", async || fleet.held_blocks() > 0).await;
    let agent =
        fleet.agents.iter().position(|agent| agent.name == "decode-0").expect("was started");
    fleet.agents[agent].signal("TERM");
    all_whole(asked).await;
    assert!(fleet.agents[agent].wait_exit(), "the agent exits by itself");
    let log = fleet.entries[0].log().join("\n");
    for reason in ["retry-agent-lost", "retry-stream-failed"] {
        assert!(!log.contains(reason), "no answer had to be continued elsewhere");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_leaves_gets_no_new_work() {
    let mut fleet =
        Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    let agent =
        fleet.agents.iter().position(|agent| agent.name == "decode-0").expect("was started");
    fleet.agents[agent].signal("TERM");
    assert!(fleet.agents[agent].wait_exit(), "an idle agent exits at once");
    let before = fleet.decodes[0].started_streams().len();
    all_whole(ask(&fleet)).await;
    assert_eq!(fleet.decodes[0].started_streams().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_the_list_calls_leaving_gets_no_new_work() {
    let fleet = Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    fleet.list.set_leaving("decode-0", true);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = fleet.decodes[0].started_streams().len();
    all_whole(ask(&fleet)).await;
    assert_eq!(fleet.decodes[0].started_streams().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_empty_or_failed_list_empties_no_pool() {
    let fleet = Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    fleet.list.empty.set(true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    all_whole(ask(&fleet)).await;
    fleet.list.empty.set(false);
    fleet.list.down.set(true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    all_whole(ask(&fleet)).await;
}

/// Every process is replaced, one after the other, while callers keep asking.
/// A caller that is refused as not run asks again, as it is told to.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_replacement_of_everything_cuts_off_nothing() {
    let config =
        FleetConfig { prefills: 2, entries: 2, engine: slow_engine(), ..FleetConfig::default() };
    let mut fleet = Fleet::start(config).await;
    let addresses = Arc::new(Mutex::new(fleet.entry_addresses()));
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<JoinHandle<usize>> = (0..CALLERS)
        .map(|number| tokio::spawn(keep_asking(number, addresses.clone(), stop.clone())))
        .collect();
    for name in ["prefill-0", "prefill-1", "decode-0", "decode-1", "desk-0"] {
        fleet.replace_agent(name).await;
    }
    for number in 0..2 {
        // The balancer takes the entry out first.
        addresses.lock().expect("no holder panics").remove(0);
        fleet.replace_entry(number).await;
        *addresses.lock().expect("no holder panics") = fleet.entry_addresses();
    }
    stop.store(true, Ordering::SeqCst);
    let mut answered = 0;
    for caller in callers {
        answered += caller.await.expect("no answer was cut off");
    }
    assert!(answered > CALLERS, "{answered} answers came");
    eventually("no blocks are held", async || fleet.held_blocks() == 0).await;
}

const CALLERS: usize = 4;

async fn keep_asking(
    caller: usize,
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    stop: Arc<AtomicBool>,
) -> usize {
    let mut answered = 0;
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let address = {
            let addresses = addresses.lock().expect("no holder panics");
            addresses[number % addresses.len()]
        };
        let prompt = prompt(caller * 1_000 + number);
        let body =
            serde_json::json!({ "model": "redator", "prompt": prompt, "max_tokens": MAX_TOKENS });
        let (status, answer) =
            Caller::new(address).call("POST", "/v1/completions", None, &body.to_string()).await;
        let json: serde_json::Value = serde_json::from_str(&answer).unwrap_or_default();
        if status == 200 {
            let expected = standins::engine::completion(&prompt, MAX_TOKENS);
            assert_eq!(json["choices"][0]["text"], expected);
            answered += 1;
        } else {
            assert_eq!(json["outcome"], "not-run", "status {status}: {answer}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    answered
}
