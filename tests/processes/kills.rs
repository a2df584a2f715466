//! Processes that die or freeze in the middle of a request, and callers that
//! go away.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::FleetConfig;
use crate::fleet::eventually;
use standins::engine::EngineConfig;

const MAX_TOKENS: u32 = 80;

/// An engine slow enough that a stream is caught in the middle.
fn slow_engine() -> EngineConfig {
    EngineConfig {
        step_base: Duration::from_millis(40),
        kv_eviction: Duration::from_secs(5),
        ..EngineConfig::default()
    }
}

fn long_prompt() -> String {
    // A prompt whose answer is longer than most, so that there is time.
    (0..)
        .map(|number| format!("reel {number}\n{}", "scene transcript\n".repeat(20)))
        .find(|prompt| standins::engine::completion(prompt, MAX_TOKENS).split(' ').count() > 60)
        .expect("some prompt has a long answer")
}

async fn streaming(fleet: &Fleet) {
    eventually("a stream runs", async || fleet.held_blocks() > 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn blocks_are_freed_when_the_caller_hangs_up() {
    let fleet = Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    let caller = fleet.caller(0);
    let asked = tokio::spawn(async move {
        caller.stream_completion("redator", &long_prompt(), MAX_TOKENS, "any").await
    });
    streaming(&fleet).await;
    asked.abort();
    eventually("no blocks are held", async || fleet.held_blocks() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn blocks_are_freed_when_cancels_are_lost_at_first() {
    let fleet = Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    for engine in &fleet.decodes {
        engine.lose_cancels.set(true);
        engine.freeze_streams.set(true);
    }
    let caller = fleet.caller(0);
    let asked = tokio::spawn(async move {
        caller.stream_completion("redator", &long_prompt(), MAX_TOKENS, "any").await
    });
    streaming(&fleet).await;
    asked.abort();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(fleet.held_blocks() > 0, "the cancel was lost");
    fleet.decodes.iter().for_each(|engine| engine.lose_cancels.set(false));
    eventually("no blocks are held", async || fleet.held_blocks() == 0).await;
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
    streaming(&fleet).await;
    fleet.entries[0].kill();
    eventually("no blocks are held", async || fleet.held_blocks() == 0).await;
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
    streaming(&fleet).await;
    fleet.entries[0].signal("STOP");
    eventually("no blocks are held", async || fleet.held_blocks() == 0).await;
    fleet.entries[0].signal("CONT");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_successor_of_a_killed_agent_cancels_orphans() {
    let mut fleet =
        Fleet::start(FleetConfig { engine: slow_engine(), decodes: 1, ..FleetConfig::default() })
            .await;
    fleet.decodes[0].freeze_streams.set(true);
    let caller = fleet.caller(0);
    let asked = tokio::spawn(async move {
        caller.stream_completion("redator", &long_prompt(), MAX_TOKENS, "any").await
    });
    streaming(&fleet).await;
    let upstream = fleet.upstream_of("decode-0");
    let old = fleet.agents.iter().position(|agent| agent.name == "decode-0").expect("was started");
    fleet.agents[old].kill();
    asked.abort();
    fleet.entries[0].kill();
    fleet.agents.remove(old);
    fleet.add_agent("decode", 0, upstream);
    fleet.entries.clear();
    fleet.add_entry(1);
    eventually("no blocks are held", async || fleet.held_blocks() == 0).await;
}

/// Sends a signal to the decode agent in the middle of its stream, and checks
/// that the answer comes whole. Returns the fleet and the agent's position.
async fn answer_despite(signal: &str) -> (Fleet, usize) {
    let fleet = Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    let prompt = long_prompt();
    let caller = fleet.caller(0);
    let sent = prompt.clone();
    let asked =
        tokio::spawn(
            async move { caller.stream_completion("redator", &sent, MAX_TOKENS, "any").await },
        );
    streaming(&fleet).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let busy =
        fleet.decodes.iter().position(|engine| engine.stream_count() > 0).expect("one streams");
    let name = format!("decode-{busy}");
    let agent = fleet.agents.iter().position(|agent| agent.name == name).expect("was started");
    fleet.agents[agent].signal(signal);
    let answer = asked.await.expect("the caller does not panic");
    assert_eq!(answer.text, standins::engine::completion(&prompt, MAX_TOKENS));
    assert!(answer.done, "the end of the stream came");
    (fleet, agent)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_continued_elsewhere_when_its_agent_is_killed() {
    answer_despite("KILL").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_continued_elsewhere_when_its_agent_is_frozen() {
    let (fleet, agent) = answer_despite("STOP").await;
    // Woken past its lease, it frees what nobody waits for any more.
    fleet.agents[agent].signal("CONT");
    eventually("no blocks are held", async || fleet.held_blocks() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_stream_goes_on_at_the_next_token() {
    let fleet = Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    fleet.decodes.iter().for_each(|engine| engine.break_next_stream.set(true));
    let prompt = long_prompt();
    let answer = fleet.caller(0).stream_completion("redator", &prompt, MAX_TOKENS, "any").await;
    assert_eq!(answer.text, standins::engine::completion(&prompt, MAX_TOKENS));
    assert!(answer.done, "the end of the stream came");
    let prefills: u64 = fleet.prefills.iter().map(|engine| engine.prefill_totals().1).sum();
    assert_eq!(prefills, 1, "the stream was resumed, not made again");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_transfer_is_tried_again() {
    let fleet = Fleet::start(FleetConfig { engine: slow_engine(), ..FleetConfig::default() }).await;
    fleet.decodes.iter().for_each(|engine| engine.stall_next_import.set(true));
    let prompt = long_prompt();
    let answer = fleet.caller(0).stream_completion("redator", &prompt, MAX_TOKENS, "any").await;
    assert_eq!(answer.text, standins::engine::completion(&prompt, MAX_TOKENS));
    let prefills: u64 = fleet.prefills.iter().map(|engine| engine.prefill_totals().1).sum();
    assert_eq!(prefills, 1, "the prefill result lived long enough");
}
