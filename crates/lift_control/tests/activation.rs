//! Guards against a new leader that grants leases before those of the previous leader have
//! expired, and against fencing tokens that decrease after a change of leader.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use lift_rpc::ControlPort as _;
use lift_state::{ActivationReply, ActivationRequest, LeaseRenewal, LeaseReply, Registration};

fn request(incarnation: u64) -> ActivationRequest {
    ActivationRequest {
        location: support::location(1),
        incarnation,
        serving: None,
        version: String::from("v1"),
        revision: 1,
    }
}

fn renewal(incarnation: u64) -> LeaseRenewal {
    LeaseRenewal {
        location: support::location(1),
        incarnation,
        serving: None,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_leader_waits_until_earlier_leases_have_expired() {
    let control = support::Control::start(3).await;
    control.logs[0].lead();
    let entry = support::client(&control.addresses);
    entry.publish(support::manifest("v1")).await.unwrap();
    let change = support::set_version("c1", 0, "v1");
    entry.change(change).await.unwrap();
    let register = |start_id| {
        let location = support::location(1);
        entry.register(Registration { location, start_id })
    };
    let first = register(10).await.unwrap();
    let error = entry.renew(renewal(first + 5)).await.unwrap_err();
    assert!(error.current_context().is_missing());
    // No agent had registered before, so the first leader grants leases without waiting.
    let renewed = entry.renew(renewal(first)).await.unwrap();
    let valid_for = support::LEASE;
    assert_eq!(renewed, LeaseReply::Renewed { valid_for });
    let ActivationReply::Granted { fencing, .. } = entry.activate(request(first)).await.unwrap()
    else {
        panic!("a host that has a lease and serves nothing receives a grant");
    };

    control.logs[1].lead();
    let started = std::time::Instant::now();
    let second = register(20).await.unwrap();
    let superseded = entry.renew(renewal(first)).await.unwrap();
    assert_eq!(superseded, LeaseReply::Superseded { by: second });
    while let LeaseReply::Wait { retry_after } = entry.renew(renewal(second)).await.unwrap() {
        tokio::time::sleep(retry_after).await;
    }
    assert!(started.elapsed() >= support::LEASE - std::time::Duration::from_millis(50));
    let reply = entry.activate(request(second)).await.unwrap();
    assert!(matches!(reply, ActivationReply::Granted { fencing: later, .. } if later > fencing));
    let reply = entry.activate(request(first)).await.unwrap();
    assert_eq!(reply, ActivationReply::NoLease);
}
