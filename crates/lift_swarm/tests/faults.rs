//! Guards against faults that distribute corrupt bytes, stop a transfer, or let a host serve a
//! version that is not its target version.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod fleet;

use std::time::Duration;

use fleet::{Fleet, Host, wait_for, wait_serving};
use lift_standin::{EngineFault, EngineTokenCheck, OriginFault};

const LENGTH: usize = 200 * 1024 + 5;

fn hosts(count: u32, regions: u32) -> Vec<Host> {
    (0..count)
        .map(|i| {
            Host::new(
                i,
                &format!("region-{}", i % regions),
                EngineTokenCheck::Refuse,
            )
        })
        .collect()
}

async fn start(fleet: &Fleet, hosts: &[Host]) -> Vec<lift_swarm::Swarm> {
    let mut agents = Vec::new();
    for host in hosts {
        agents.push(fleet.start_agent(host).await);
    }
    agents
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_corrupt_chunk_is_dropped_counted_and_read_again() {
    let fleet = Fleet::start().await;
    fleet.origin.set_fault(OriginFault::Corrupt { one_in: 3 });
    let hosts = hosts(4, 1);
    let agents = start(&fleet, &hosts).await;
    fleet.publish("v1", 1, LENGTH).await;
    fleet.set_default("v1");
    for agent in &agents {
        wait_serving(agent, "v1").await;
    }
    let corrupt: u64 = hosts
        .iter()
        .map(|h| h.counters.value("chunk_corrupt"))
        .sum();
    assert!(corrupt > 0);
    assert!(fleet.origin.bytes_read() > LENGTH as u64);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_lost_home_host_does_not_stop_transfers_to_other_hosts() {
    let fleet = Fleet::start().await;
    let hosts = hosts(6, 2);
    let mut agents = start(&fleet, &hosts).await;
    // The views still list the host, which has stopped before it fetches its home groups.
    agents.remove(0).stop().await;
    fleet.publish("v1", 1, LENGTH).await;
    fleet.set_default("v1");
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.control.remove_host(0);
    for agent in &agents {
        wait_serving(agent, "v1").await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_superseded_version_is_not_loaded_and_its_chunks_are_kept() {
    let fleet = Fleet::start().await;
    fleet.control.set_policy(|policy| {
        policy.default.transfer_goal = lift_types::TransferGoal::Origin;
    });
    let hosts = hosts(3, 1);
    let agents = start(&fleet, &hosts).await;
    let first = fleet::weights(1, LENGTH);
    let mut second = first.to_vec();
    second[0] ^= 1;
    fleet.publish("v1", 1, LENGTH).await;
    fleet.publish_bytes("v2", bytes::Bytes::from(second)).await;
    fleet.origin.set_fault(OriginFault::Stall);
    fleet.set_default("v1");
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.origin.set_fault(OriginFault::None);
    fleet.set_default("v2");
    for agent in &agents {
        wait_serving(agent, "v2").await;
    }
    fleet.set_default("v1");
    let before = fleet.origin.bytes_read();
    for agent in &agents {
        wait_serving(agent, "v1").await;
    }
    // The two versions share all chunks but one.
    assert_eq!(
        fleet.origin.bytes_read() - before,
        u64::from(fleet::CHUNK_BYTES)
    );
    assert!(hosts.iter().all(|host| host.engine.orders() == 2));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_restart_uses_the_kept_chunks_and_serves_without_a_new_load() {
    let fleet = Fleet::start().await;
    let hosts = hosts(1, 1);
    let agent = fleet.start_agent(&hosts[0]).await;
    fleet.publish("v1", 1, LENGTH).await;
    fleet.set_default("v1");
    wait_serving(&agent, "v1").await;
    agent.stop().await;
    let (read, orders) = (fleet.origin.bytes_read(), hosts[0].engine.orders());
    // The engine still holds the version and the host all of its chunks, but a new incarnation
    // serves nothing until it has a lease of its own.
    fleet.control.withhold_leases(true);
    let agent = fleet.start_agent(&hosts[0]).await;
    wait_for(&agent, |status| {
        status.chunks > 0 && status.chunks_held == status.chunks
    })
    .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(agent.status().borrow().serving, None);
    fleet.control.withhold_leases(false);
    wait_serving(&agent, "v1").await;
    assert_eq!(fleet.origin.bytes_read(), read);
    assert_eq!(hosts[0].engine.orders(), orders);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_damaged_chunk_on_disk_is_fetched_again_after_a_restart() {
    let fleet = Fleet::start().await;
    let hosts = hosts(1, 1);
    let agent = fleet.start_agent(&hosts[0]).await;
    fleet.publish("v1", 1, LENGTH).await;
    fleet.set_default("v1");
    wait_serving(&agent, "v1").await;
    agent.stop().await;
    let chunks = hosts[0].dir.path().join("chunks");
    let chunk = std::fs::read_dir(chunks).unwrap().next().unwrap().unwrap();
    std::fs::write(chunk.path(), b"damaged").unwrap();
    std::fs::remove_dir_all(hosts[0].dir.path().join("versions")).unwrap();
    let read = fleet.origin.bytes_read();
    let agent = fleet.start_agent(&hosts[0]).await;
    wait_serving(&agent, "v1").await;
    assert!(fleet.origin.bytes_read() > read);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_region_with_an_exception_keeps_its_version_until_the_exception_is_removed() {
    let fleet = Fleet::start().await;
    let hosts = hosts(4, 2);
    let agents = start(&fleet, &hosts).await;
    fleet.publish("v1", 1, LENGTH).await;
    fleet.publish("v2", 2, LENGTH).await;
    fleet.set_default("v1");
    for agent in &agents {
        wait_serving(agent, "v1").await;
    }
    fleet.control.set_policy(|policy| {
        policy.exceptions.push(lift_types::PolicyException {
            id: String::from("freeze"),
            scope: "region:region-1".parse().unwrap(),
            value: lift_types::ExceptionValue::Version(String::from("v1")),
            reason: String::from("freeze warning"),
            author: String::from("test"),
            since: 2,
        });
        policy.default.version = Some(String::from("v2"));
    });
    wait_serving(&agents[0], "v2").await;
    wait_serving(&agents[2], "v2").await;
    assert_eq!(hosts[1].serving().as_deref(), Some("v1"));
    assert_eq!(hosts[1].engine.orders(), 1);
    fleet.control.set_policy(|policy| policy.exceptions.clear());
    wait_serving(&agents[1], "v2").await;
    wait_serving(&agents[3], "v2").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_host_serves_nothing_while_its_engine_refuses_or_has_failed_and_serves_after_a_load() {
    let fleet = Fleet::start().await;
    let hosts = hosts(1, 1);
    let agent = fleet.start_agent(&hosts[0]).await;
    fleet.publish("v1", 1, LENGTH).await;
    fleet.publish("v2", 2, LENGTH).await;
    fleet.set_default("v1");
    wait_serving(&agent, "v1").await;
    hosts[0].engine.set_fault(EngineFault::Refuse);
    fleet.control.set_policy(|policy| {
        policy.default.version = Some(String::from("v2"));
        policy.default.activation_floor_percent = 0;
    });
    wait_for(&agent, |status| status.serving.is_none()).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(hosts[0].serving(), None);
    hosts[0].engine.set_fault(EngineFault::None);
    wait_serving(&agent, "v2").await;
    hosts[0].engine.set_fault(EngineFault::Die);
    wait_for(&agent, |status| status.serving.is_none()).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(hosts[0].serving(), None);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_older_incarnation_stops_serving_and_its_token_is_refused() {
    let fleet = Fleet::start().await;
    let hosts = hosts(1, 1);
    let old = fleet.start_agent(&hosts[0]).await;
    fleet.publish("v1", 1, LENGTH).await;
    fleet.set_default("v1");
    wait_serving(&old, "v1").await;
    let other = Host {
        dir: tempfile::tempdir().unwrap(),
        serving_control: Default::default(),
        counters: Default::default(),
        engine: hosts[0].engine.clone(),
        location: hosts[0].location.clone(),
    };
    let new = fleet.start_agent(&other).await;
    wait_serving(&new, "v1").await;
    let stale = lift_border::LoadOrder {
        version: String::from("v1"),
        file: hosts[0].dir.path().to_path_buf(),
        whole: lift_types::ChunkHash([0; 32]),
        fencing: 0,
    };
    let refused = lift_border::Engine::load(hosts[0].engine.as_ref(), stale).await;
    let error = refused.unwrap_err();
    assert!(matches!(
        error.current_context(),
        lift_border::EngineError::Stale { .. }
    ));
    wait_serving(&new, "v1").await;
    fleet.publish("v2", 2, LENGTH).await;
    fleet.control.set_policy(|policy| {
        policy.default.version = Some(String::from("v2"));
        policy.default.activation_floor_percent = 0;
    });
    wait_serving(&new, "v2").await;
    wait_for(&old, |status| status.serving.is_none()).await;
}
