//! Guards against evacuations that members lose, revert or acknowledge without a quorum.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::{sync, time};

use lift_registry::{ControlMember, FleetControlError};
use support::{Fleet, Observer, WAIT_TIMEOUT};

/// Calls the members in turn, as an operator does, until one acknowledges.
async fn set_evacuated(members: &[&ControlMember], domain: &str, is_evacuated: bool) {
    let calling = async {
        loop {
            for member in members {
                let (control, domain) = (member.control(), String::from(domain));
                let called = match is_evacuated {
                    true => control.evacuate(domain).await,
                    false => control.restore(domain).await,
                };
                if called.is_ok() {
                    return;
                }
            }
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    };
    let called = tokio::time::timeout(WAIT_TIMEOUT, calling).await;
    assert!(called.is_ok(), "{domain} {is_evacuated} not acknowledged");
}

/// Waits until a node that starts now knows exactly these failure domains as evacuated. A revision
/// tells a member that has caught up from one that knows of none yet.
async fn expect_evacuated(fleet: &Fleet, number: usize, domains: &[&str]) {
    let observer = sync::Arc::new(Observer::default());
    let _client = fleet.follow(number, observer.clone());
    let waiting = async {
        loop {
            let known = observer.evacuations();
            let is_same = domains.iter().all(|domain| known.contains(domain));
            if known.revision() > 0 && known.len() == domains.len() && is_same {
                return;
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(WAIT_TIMEOUT, waiting).await;
    let known = observer.evacuations();
    assert!(waited.is_ok(), "expected {domains:?}, known {known:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn evacuations_survive_restarts_and_a_lost_disk() {
    // Guards against an evacuation that is lost when all members end right after the
    // acknowledgement, or when a member with an empty disk becomes part of the quorum.
    let mut fleet = Fleet::new(60, 3);
    let (a, b) = (fleet.start(0, true).await, fleet.start(1, true).await);
    let c = fleet.start(2, true).await;
    // No document exists yet.
    set_evacuated(&[&a, &b, &c], "east", true).await;
    set_evacuated(&[&a, &b, &c], "west", true).await;
    set_evacuated(&[&a, &b, &c], "west", false).await;
    drop((a, b, c));
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let (a, b) = (fleet.start(0, true).await, fleet.start(1, true).await);
    let c = fleet.start(2, true).await;
    expect_evacuated(&fleet, 10, &["east"]).await;
    set_evacuated(&[&a, &b, &c], "east", true).await;
    c.stop().await;
    drop(c);
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    fleet.lose_disk(2);
    let c = fleet.start(2, false).await;
    tokio::time::sleep(time::Duration::from_secs(4)).await;
    // The rejoined member is a voter now: it forms a quorum with one of the others.
    a.stop().await;
    drop(a);
    set_evacuated(&[&b, &c], "west", true).await;
    expect_evacuated(&fleet, 11, &["east", "west"]).await;
    set_evacuated(&[&b, &c], "east", false).await;
    expect_evacuated(&fleet, 12, &["west"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_operators_evacuate_two_failure_domains_at_once() {
    // Guards against concurrent calls of which one undoes the other.
    let fleet = Fleet::new(61, 3);
    let (a, b) = (fleet.start(0, true).await, fleet.start(1, true).await);
    let c = fleet.start(2, true).await;
    let all = [&a, &b, &c];
    tokio::join!(
        set_evacuated(&all, "east", true),
        set_evacuated(&all, "west", true),
        set_evacuated(&all, "east", true),
    );
    expect_evacuated(&fleet, 10, &["east", "west"]).await;
    tokio::join!(
        set_evacuated(&all, "east", false),
        set_evacuated(&all, "west", false),
    );
    expect_evacuated(&fleet, 11, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_failure_domains_are_refused_and_a_lone_member_acknowledges_nothing() {
    // Guards against a slip that is acknowledged and evacuates nothing, and against an
    // acknowledgement without a quorum.
    let fleet = Fleet::new(62, 3);
    let (a, b) = (fleet.start(0, true).await, fleet.start(1, true).await);
    let c = fleet.start(2, true).await;
    set_evacuated(&[&a, &b, &c], "east", true).await;
    let mut refused = 0;
    for member in [&a, &b, &c] {
        let called = member.control().evacuate(String::from("nowhere")).await;
        match called.unwrap_err().current_context() {
            FleetControlError::FailureDomain(domain) => {
                assert_eq!(domain, "nowhere");
                refused += 1;
            }
            error => assert!(
                matches!(error, FleetControlError::NotLeader { .. }),
                "{error}"
            ),
        }
    }
    assert_eq!(refused, 1, "only the leader decides");
    a.stop().await;
    b.stop().await;
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    for domain in ["east", "west", "nowhere"] {
        let called = c.control().evacuate(String::from(domain)).await;
        let report = called.unwrap_err();
        let error = report.current_context();
        let is_final = matches!(error, FleetControlError::FailureDomain(_));
        assert!(!is_final, "{domain}: {error}");
    }
}
