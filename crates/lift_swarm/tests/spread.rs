//! Guards against a version that does not reach every host, or that is read from the origin more
//! than once under the transfer goal `Origin`.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod fleet;

use fleet::{Fleet, Host, wait_serving};
use lift_standin::EngineTokenCheck;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_host_serves_and_the_origin_is_read_once() {
    let fleet = Fleet::start().await;
    fleet.control.set_policy(|policy| {
        policy.default.transfer_goal = lift_types::TransferGoal::Origin;
    });
    let regions = ["delta-east", "piedmont", "plateau"];
    let hosts: Vec<_> = (0..9)
        .map(|i| Host::new(i, regions[i as usize % 3], EngineTokenCheck::Refuse))
        .collect();
    let mut agents = Vec::new();
    for host in &hosts {
        agents.push(fleet.start_agent(host).await);
    }
    let length = 100 * 1024 + 17;
    fleet.publish("v1", 1, length).await;
    fleet.set_default("v1");
    for agent in &agents {
        wait_serving(agent, "v1").await;
    }
    for host in &hosts {
        assert_eq!(host.serving().as_deref(), Some("v1"));
        assert_eq!(host.engine.loaded().borrow().as_deref(), Some("v1"));
    }
    assert_eq!(fleet.origin.bytes_read(), length as u64);
    for agent in agents {
        agent.stop().await;
    }
}
