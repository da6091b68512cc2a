//! Guards the path from a client over a relay to control members: operations, pushes,
//! confirmations, and a change of leader.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time::Duration;

use lift_rpc::ControlPort as _;
use lift_state::{ChangeReply, ClaimReply};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_is_in_force_at_an_agent_behind_a_relay() {
    let control = support::Control::start(1).await;
    control.logs[0].lead();
    let entry = support::client(&control.addresses);
    let relay = support::relay(entry.clone()).await;
    let agent = support::client(&[relay.address()]);
    entry.publish(support::manifest("v1")).await.unwrap();
    let reply = agent.change(support::set_version("c1", 0, "v1")).await;
    assert_eq!(reply.unwrap(), ChangeReply::Accepted { revision: 1 });
    let view = support::until(&agent, |v| {
        v.policy.revision == 1 && v.confirmed_at.is_some()
    })
    .await;
    assert_eq!(view.policy.default.version.as_deref(), Some("v1"));
    let manifest = agent.manifest(String::from("v1")).await.unwrap();
    assert_eq!(manifest, support::manifest("v1"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operations_follow_a_new_leader() {
    let control = support::Control::start(3).await;
    control.logs[0].lead();
    let entry = support::client(&control.addresses);
    entry.publish(support::manifest("v1")).await.unwrap();
    control.logs[2].lead();
    let reply = entry.change(support::set_version("c1", 0, "v1")).await;
    assert_eq!(reply.unwrap(), ChangeReply::Accepted { revision: 1 });
    control.logs[1].lead();
    let reply = entry.change(support::set_version("c1", 0, "v1")).await;
    assert_eq!(reply.unwrap(), ChangeReply::Accepted { revision: 1 });
    let asked = std::time::Instant::now();
    support::until(&entry, |v| v.confirmed_at.is_some_and(|at| at > asked)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_is_confirmed_without_a_leader() {
    let control = support::Control::start(1).await;
    control.logs[0].lead();
    let entry = support::client(&control.addresses);
    support::until(&entry, |v| v.confirmed_at.is_some()).await;
    control.logs[0].stop_leading();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let stopped = std::time::Instant::now();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(entry.watch().borrow().confirmed_at.unwrap() < stopped);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_claim_is_given_once() {
    let control = support::Control::start(1).await;
    control.logs[0].lead();
    let entry = support::client(&control.addresses);
    let req = support::claim("k", 7, 1);
    let ClaimReply::New(holder) = entry.claim(req.clone()).await.unwrap() else {
        panic!("the first claim is new");
    };
    assert_eq!(entry.claim(req).await.unwrap(), ClaimReply::Pending(holder));
}
