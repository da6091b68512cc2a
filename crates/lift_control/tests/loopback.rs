//! Guards against changes, confirmations and claims that are lost or wrong on the path from a
//! client, possibly through a relay, to control members, also after a change of leader.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time::Duration;

use lift_rpc::ControlPort as _;
use lift_state::{ChangeReply, ClaimReply};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_takes_effect_at_an_agent_behind_a_relay() {
    let control = support::Control::start(1).await;
    control.logs[0].lead();
    let entry = support::client(&control.addresses);
    let relay = support::relay(entry.clone()).await;
    let agent = support::client(&[relay.address()]);
    entry.publish(support::manifest("v1")).await.unwrap();
    let reply = agent.change(support::set_version("c1", 0, "v1")).await;
    assert_eq!(reply.unwrap(), ChangeReply::Accepted { revision: 1 });
    let view = support::wait_for_view(&agent, |v| {
        v.policy.revision == 1 && v.confirmed_at.is_some()
    })
    .await;
    assert_eq!(view.policy.default.version.as_deref(), Some("v1"));
    let manifest = agent.manifest(String::from("v1")).await.unwrap();
    assert_eq!(manifest, support::manifest("v1"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_client_sends_operations_to_a_new_leader() {
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
    let replied_at = std::time::Instant::now();
    support::wait_for_view(&entry, |v| v.confirmed_at.is_some_and(|at| at > replied_at)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_policy_is_confirmed_without_a_leader() {
    let control = support::Control::start(1).await;
    control.logs[0].lead();
    let entry = support::client(&control.addresses);
    support::wait_for_view(&entry, |v| v.confirmed_at.is_some()).await;
    control.logs[0].stop_leading();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let stopped_at = std::time::Instant::now();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(entry.watch().borrow().confirmed_at.unwrap() < stopped_at);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeated_claim_request_returns_the_pending_holder() {
    let control = support::Control::start(1).await;
    control.logs[0].lead();
    let entry = support::client(&control.addresses);
    let req = support::claim("k", 7, 1);
    let ClaimReply::New(holder) = entry.claim(req.clone()).await.unwrap() else {
        panic!("the first claim is new");
    };
    assert_eq!(entry.claim(req).await.unwrap(), ClaimReply::Pending(holder));
}
