//! Processes that are killed or frozen during a request, callers that disconnect, and
//! streams and transfers that fail: the engines free all KV cache blocks, and responses
//! arrive complete.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::FleetConfig;
use crate::fleet::eventually;
use standins::engine::EngineConfig;

const MAX_TOKENS: u32 = 80;

/// Returns the settings of an engine that is slow enough for a failure to hit a
/// stream in the middle.
fn slow_engine() -> EngineConfig {
    EngineConfig {
        step_base: Duration::from_millis(40),
        kv_eviction: Duration::from_secs(5),
        ..EngineConfig::default()
    }
}

/// Returns a prompt whose output has more than 60 words, so that the stream still
/// runs when the failure happens.
fn long_prompt() -> String {
    (0..)
        .map(|number| format!("reel {number}\n{}", "scene transcript\n".repeat(20)))
        .find(|prompt| standins::engine::completion(prompt, MAX_TOKENS).split(' ').count() > 60)
        .expect("some prompt has a long output")
}

/// Waits until a decode engine holds blocks for a stream.
async fn wait_for_stream(fleet: &Fleet) {
    eventually("a stream runs", async || fleet.held_blocks() > 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn blocks_are_freed_when_the_caller_disconnects() {
    let fleet = Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    let caller = fleet.caller(0);
    let request = tokio::spawn(async move {
        caller.stream_completion("redator", &long_prompt(), MAX_TOKENS, "any").await
    });
    wait_for_stream(&fleet).await;
    request.abort();
    eventually("the engines hold no blocks", async || fleet.held_blocks() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn blocks_are_freed_when_cancels_are_lost_at_first() {
    let fleet = Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    for engine in &fleet.decodes {
        engine.lose_cancels.set(true);
        engine.freeze_streams.set(true);
    }
    let caller = fleet.caller(0);
    let request = tokio::spawn(async move {
        caller.stream_completion("redator", &long_prompt(), MAX_TOKENS, "any").await
    });
    wait_for_stream(&fleet).await;
    request.abort();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(fleet.held_blocks() > 0, "blocks were freed although cancels are lost");
    fleet.decodes.iter().for_each(|engine| engine.lose_cancels.set(false));
    eventually("the engines hold no blocks", async || fleet.held_blocks() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn blocks_are_freed_when_the_entry_is_killed() {
    let mut fleet =
        Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    for engine in &fleet.decodes {
        engine.freeze_streams.set(true);
    }
    let caller = fleet.caller(0);
    tokio::spawn(async move {
        caller.stream_completion("redator", &long_prompt(), MAX_TOKENS, "any").await
    });
    wait_for_stream(&fleet).await;
    fleet.entries[0].kill();
    eventually("the engines hold no blocks", async || fleet.held_blocks() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn blocks_are_freed_when_the_entry_is_frozen() {
    let fleet = Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    for engine in &fleet.decodes {
        engine.freeze_streams.set(true);
    }
    let caller = fleet.caller(0);
    tokio::spawn(async move {
        caller.stream_completion("redator", &long_prompt(), MAX_TOKENS, "any").await
    });
    wait_for_stream(&fleet).await;
    fleet.entries[0].signal("STOP");
    eventually("the engines hold no blocks", async || fleet.held_blocks() == 0).await;
    fleet.entries[0].signal("CONT");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_successor_of_a_killed_agent_cancels_orphaned_streams() {
    let mut fleet =
        Fleet::start(FleetConfig { engine: slow_engine(), decodes: 1, ..FleetConfig::default() })
            .await;
    fleet.decodes[0].freeze_streams.set(true);
    let caller = fleet.caller(0);
    let request = tokio::spawn(async move {
        caller.stream_completion("redator", &long_prompt(), MAX_TOKENS, "any").await
    });
    wait_for_stream(&fleet).await;
    let upstream = fleet.upstream_of("decode-0");
    let old = fleet
        .agents
        .iter()
        .position(|agent| agent.name == "decode-0")
        .expect("the agent was started");
    fleet.agents[old].kill();
    request.abort();
    fleet.entries[0].kill();
    fleet.agents.remove(old);
    fleet.add_agent("decode", 0, upstream);
    fleet.entries.clear();
    fleet.add_entry(1);
    eventually("the engines hold no blocks", async || fleet.held_blocks() == 0).await;
}

/// Sends a signal to a decode agent in the middle of its stream, and checks that the
/// caller gets a complete response. Returns the fleet and the agent's index.
async fn expect_complete_response_despite(signal: &str) -> (Fleet, usize) {
    let fleet = Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    let prompt = long_prompt();
    let caller = fleet.caller(0);
    let sent_prompt = prompt.clone();
    let request = tokio::spawn(async move {
        caller.stream_completion("redator", &sent_prompt, MAX_TOKENS, "any").await
    });
    wait_for_stream(&fleet).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let busy = fleet
        .decodes
        .iter()
        .position(|engine| engine.stream_count() > 0)
        .expect("an engine has a stream");
    let name = format!("decode-{busy}");
    let agent =
        fleet.agents.iter().position(|agent| agent.name == name).expect("the agent was started");
    fleet.agents[agent].signal(signal);
    let response = request.await.expect("the caller task does not panic");
    assert_eq!(response.text, standins::engine::completion(&prompt, MAX_TOKENS));
    assert!(response.done, "the stream has no end marker");
    (fleet, agent)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_is_continued_elsewhere_when_its_agent_is_killed() {
    expect_complete_response_despite("KILL").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_is_continued_elsewhere_when_its_agent_is_frozen() {
    let (fleet, agent) = expect_complete_response_despite("STOP").await;
    // When the agent goes on after the leases of the entries have expired, it frees the
    // blocks of streams that no entry waits for any more.
    fleet.agents[agent].signal("CONT");
    eventually("the engines hold no blocks", async || fleet.held_blocks() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_connection_to_the_engine_breaks_continues_at_the_next_token() {
    let fleet = Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    fleet.decodes.iter().for_each(|engine| engine.break_next_stream.set(true));
    let prompt = long_prompt();
    let response = fleet.caller(0).stream_completion("redator", &prompt, MAX_TOKENS, "any").await;
    assert_eq!(response.text, standins::engine::completion(&prompt, MAX_TOKENS));
    assert!(response.done, "the stream has no end marker");
    let prefills: u64 = fleet.prefills.iter().map(|engine| engine.prefill_totals().1).sum();
    assert_eq!(prefills, 1, "the prompt was prefilled again instead of resuming the stream");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_transfer_is_retried() {
    let fleet = Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    fleet.decodes.iter().for_each(|engine| engine.stall_next_import.set(true));
    let prompt = long_prompt();
    let response = fleet.caller(0).stream_completion("redator", &prompt, MAX_TOKENS, "any").await;
    assert_eq!(response.text, standins::engine::completion(&prompt, MAX_TOKENS));
    let prefills: u64 = fleet.prefills.iter().map(|engine| engine.prefill_totals().1).sum();
    assert_eq!(prefills, 1, "the prompt was prefilled again instead of retrying the transfer");
}
