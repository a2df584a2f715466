//! Manifests: an accepted one comes into force in every process, and is never
//! replaced by an older one.

use std::time::Duration;
use std::time::Instant;

use crate::fleet::Fleet;
use crate::fleet::FleetConfig;
use crate::fleet::eventually;
use crate::fleet::manifest;
use bamboodoor::manifest::fold::publish_record;

/// Time within which an accepted manifest must be in force in every process.
const IN_FORCE_BOUND: Duration = Duration::from_secs(4);

/// Returns the generation of the manifest in force at each entry and agent; 0 for
/// none.
async fn generations(fleet: &Fleet) -> Vec<u64> {
    let mut generations = Vec::new();
    for process in fleet.entries.iter().chain(&fleet.agents) {
        generations.push(process.status().await["generation"].as_u64().unwrap_or(0));
    }
    generations
}

/// True if this generation is in force at every entry and agent.
async fn in_force_everywhere(fleet: &Fleet, generation: u64) -> bool {
    generations(fleet).await.iter().all(|in_force| *in_force == generation)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_manifest_is_in_force_everywhere_within_the_bound() {
    let fleet = Fleet::start(FleetConfig { entries: 2, ..FleetConfig::default() }).await;
    let generation = fleet.publish(&manifest(6), 1);
    let started = Instant::now();
    eventually("the manifest is in force", async || in_force_everywhere(&fleet, generation).await)
        .await;
    assert!(
        started.elapsed() < IN_FORCE_BOUND,
        "the manifest is in force only after {:?}",
        started.elapsed()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn of_concurrent_manifests_the_first_in_the_log_is_in_force_everywhere() {
    let fleet = Fleet::start(FleetConfig { entries: 2, ..FleetConfig::default() }).await;
    let winner = fleet.publish(&manifest(6), 1);
    fleet.publish(&manifest(7), 1);
    fleet.publish(&manifest(5), 1);
    eventually("first manifest is in force", async || in_force_everywhere(&fleet, winner).await)
        .await;
    let next = fleet.publish(&manifest(4), winner);
    eventually("the next manifest is in force", async || in_force_everywhere(&fleet, next).await)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_corrupted_or_invalid_manifest_is_ignored() {
    let fleet = Fleet::start(FleetConfig::default()).await;
    let mut record = serde_json::to_value(publish_record("bad", "test", 1, &manifest(6)))
        .expect("the record can be serialized");
    record["publish"]["sha256"] = "0000".into();
    fleet.log.append("manifest", &record.to_string());
    fleet.publish("{ \"name\": \"no pools\" }", 1);
    fleet.log.append("manifest", "not JSON");
    let next = fleet.publish(&manifest(6), 1);
    eventually("the valid manifest is in force", async || in_force_everywhere(&fleet, next).await)
        .await;
    let log = fleet.entries[0].log_lines().join("\n");
    for reason in ["digest-mismatch", "invalid", "malformed"] {
        assert!(log.contains(reason), "the log of the entry does not name the reason {reason}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_started_in_a_log_outage_gets_the_newest_manifest_from_agents() {
    let mut fleet = Fleet::start(FleetConfig::default()).await;
    let generation = fleet.publish(&manifest(6), 1);
    eventually("the manifest is in force", async || in_force_everywhere(&fleet, generation).await)
        .await;
    fleet.log.down.set(true);
    fleet.entries[0].kill();
    fleet.entries.clear();
    fleet.add_entry(1);
    eventually("new entry has manifest", async || in_force_everywhere(&fleet, generation).await)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn processes_frozen_during_two_changes_end_up_with_the_newest_manifest() {
    let fleet = Fleet::start(FleetConfig { entries: 2, ..FleetConfig::default() }).await;
    fleet.entries[0].signal("STOP");
    fleet.agents[0].signal("STOP");
    let second = fleet.publish(&manifest(6), 1);
    let third = fleet.publish(&manifest(5), second);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.entries[0].signal("CONT");
    fleet.agents[0].signal("CONT");
    eventually("newest manifest is in force", async || in_force_everywhere(&fleet, third).await)
        .await;
}
