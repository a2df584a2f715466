//! Graceful shutdowns, and upstreams that leave: requests in flight complete, and
//! leaving upstreams get no new work.

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
/// Number of requests that [`send_requests`] sends at the same time.
const REQUESTS: usize = 6;

/// Returns the settings of an engine that is slow enough for a process to be shut
/// down in the middle of a stream.
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

/// Sends requests to the first entry, and returns for each a task that ends with its
/// prompt and response.
fn send_requests(fleet: &Fleet) -> Vec<JoinHandle<(String, StreamedCompletion)>> {
    (0..REQUESTS)
        .map(|number| {
            let caller = fleet.caller(0);
            tokio::spawn(async move {
                let prompt = prompt(number);
                let response =
                    caller.stream_completion("redator", &prompt, MAX_TOKENS, "any").await;
                (prompt, response)
            })
        })
        .collect()
}

/// Waits for all responses. Fails the test if one is not complete.
async fn assert_complete(requests: Vec<JoinHandle<(String, StreamedCompletion)>>) {
    for request in requests {
        let (prompt, response) = request.await.expect("the caller task does not panic");
        assert_eq!(response.text, standins::engine::completion(&prompt, MAX_TOKENS));
        assert!(response.done, "the stream has no end marker");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_graceful_shutdown_of_an_entry_cuts_off_no_response() {
    let mut fleet =
        Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    let requests = send_requests(&fleet);
    eventually("a stream runs", async || fleet.held_blocks() > 0).await;
    fleet.entries[0].signal("TERM");
    assert_complete(requests).await;
    assert!(fleet.entries[0].wait_exit(), "the entry did not exit with status 0");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_graceful_shutdown_of_an_agent_cuts_off_no_response() {
    let mut fleet =
        Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    let requests = send_requests(&fleet);
    eventually("a stream runs", async || fleet.held_blocks() > 0).await;
    let agent = fleet
        .agents
        .iter()
        .position(|agent| agent.name == "decode-0")
        .expect("the agent was started");
    fleet.agents[agent].signal("TERM");
    assert_complete(requests).await;
    assert!(fleet.agents[agent].wait_exit(), "the agent did not exit with status 0");
    let log = fleet.entries[0].log_lines().join("\n");
    for reason in ["retry-agent-lost", "retry-stream-failed"] {
        assert!(
            !log.contains(reason),
            "a response was continued at another engine, the entry logged {reason}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_whose_agent_has_shut_down_gets_no_new_work() {
    let mut fleet =
        Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    let agent = fleet
        .agents
        .iter()
        .position(|agent| agent.name == "decode-0")
        .expect("the agent was started");
    fleet.agents[agent].signal("TERM");
    assert!(fleet.agents[agent].wait_exit(), "the idle agent did not exit with status 0");
    let before = fleet.decodes[0].started_streams().len();
    assert_complete(send_requests(&fleet)).await;
    assert_eq!(fleet.decodes[0].started_streams().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_marked_as_leaving_in_the_instance_list_gets_no_new_work() {
    let fleet = Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    fleet.instance_list.set_leaving("decode-0", true);
    // Time for the entry to read the list, which it does every 100 ms.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = fleet.decodes[0].started_streams().len();
    assert_complete(send_requests(&fleet)).await;
    assert_eq!(fleet.decodes[0].started_streams().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_empty_or_failed_read_of_the_instance_list_empties_no_pool() {
    let fleet = Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    fleet.instance_list.empty.set(true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_complete(send_requests(&fleet)).await;
    fleet.instance_list.empty.set(false);
    fleet.instance_list.down.set(true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_complete(send_requests(&fleet)).await;
}

/// Every process is replaced, one after the other, while callers keep sending
/// requests. A request may be refused as not run, but no response is cut off.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_replacement_of_every_process_cuts_off_no_response() {
    let config =
        FleetConfig { prefills: 2, entries: 2, engine: slow_engine(), ..FleetConfig::default() };
    let mut fleet = Fleet::start(config).await;
    let addresses = Arc::new(Mutex::new(fleet.entry_addresses()));
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<JoinHandle<usize>> = (0..CALLERS)
        .map(|number| tokio::spawn(send_until_stopped(number, addresses.clone(), stop.clone())))
        .collect();
    for name in ["prefill-0", "prefill-1", "decode-0", "decode-1", "desk-0"] {
        fleet.replace_agent(name).await;
    }
    for number in 0..2 {
        // As with a load balancer, callers stop using the entry before it shuts down.
        addresses.lock().expect("the mutex is not poisoned").remove(0);
        fleet.replace_entry(number).await;
        *addresses.lock().expect("the mutex is not poisoned") = fleet.entry_addresses();
    }
    stop.store(true, Ordering::SeqCst);
    let mut completed = 0;
    for caller in callers {
        completed += caller.await.expect("no response was cut off");
    }
    assert!(completed > CALLERS, "only {completed} complete responses");
    eventually("the engines hold no blocks", async || fleet.held_blocks() == 0).await;
}

/// Number of callers that send requests during the rolling replacement.
const CALLERS: usize = 4;

/// Sends requests one after the other until `stop` is set, to the addresses in
/// turn. Returns the number of complete responses. Panics if a response is cut off or
/// a refusal does not have the outcome `not-run`.
async fn send_until_stopped(
    caller: usize,
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    stop: Arc<AtomicBool>,
) -> usize {
    let mut completed = 0;
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let address = {
            let addresses = addresses.lock().expect("the mutex is not poisoned");
            addresses[number % addresses.len()]
        };
        let prompt = prompt(caller * 1_000 + number);
        let request =
            serde_json::json!({ "model": "redator", "prompt": prompt, "max_tokens": MAX_TOKENS });
        let (status, body) =
            Caller::new(address).call("POST", "/v1/completions", None, &request.to_string()).await;
        let json: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
        if status == 200 {
            let expected = standins::engine::completion(&prompt, MAX_TOKENS);
            assert_eq!(json["choices"][0]["text"], expected);
            completed += 1;
        } else {
            assert_eq!(json["outcome"], "not-run", "status {status}: {body}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    completed
}
