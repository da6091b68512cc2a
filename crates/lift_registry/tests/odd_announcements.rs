//! Announcements and namings that no backend server or operator can have meant.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::{sync, time};

use lift_registry::{FleetControl, FleetControlError};
use support::{Fleet, Observer, WAIT_TIMEOUT, announcement};

/// Longer than the longest frame between members and nodes.
const HUGE_BYTES: usize = 6 * 1024 * 1024;

fn odd_announcements() -> Vec<lift_fleet::Announcement> {
    let mut huge = announcement(1);
    huge.id = String::from("huge");
    huge.service = "s".repeat(HUGE_BYTES);
    let mut early = announcement(1);
    early.id = String::from("early");
    early.started_at -= time::Duration::from_secs(1);
    let mut late = announcement(1);
    late.id = String::from("late");
    late.started_at += time::Duration::from_millis(u64::MAX);
    let mut last = announcement(u64::MAX);
    last.slots = u32::MAX;
    vec![huge, early, late, last]
}

async fn hears(control: &dyn FleetControl, observer: &Observer, sequence: u64) -> bool {
    let heartbeats = async {
        while observer.sequence("s") != Some(sequence) {
            let mut said = announcement(sequence);
            said.slots = sequence as u32;
            let _ = control.announce(said);
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, heartbeats).await.is_ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_odd_announcement_does_not_keep_nodes_from_following_the_others() {
    // Guards against one record that breaks every connection on which members tell their nodes.
    let fleet = Fleet::new(54, 3);
    let a = fleet.start(0, true).await;
    let _b = fleet.start(1, true).await;
    let _c = fleet.start(2, true).await;
    let observer = sync::Arc::new(Observer::default());
    let _node = fleet.follow(8, observer.clone());
    let control = a.control();
    assert!(hears(&*control, &observer, 2).await);
    for (odd, sequence) in odd_announcements().into_iter().zip(3..) {
        let id: String = odd.id.chars().take(8).collect();
        let told = control.announce(odd);
        assert!(hears(&*control, &observer, sequence).await, "after {id}");
        assert!(told.is_err(), "{id} was accepted");
    }
    assert!(control.deregister("s", None).is_ok());
}

/// Names a version of `model` at the member that leads.
async fn name(members: &[&lift_registry::ControlMember], model: &str) -> bool {
    let naming = async {
        loop {
            for member in members {
                let control = member.control();
                match control.set_target_version(String::from(model), 1).await {
                    Ok(_) => return true,
                    Err(e) if *e.current_context() == FleetControlError::Model => return false,
                    Err(_) => tokio::time::sleep(time::Duration::from_millis(50)).await,
                }
            }
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, naming).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_model_with_a_huge_name_does_not_keep_nodes_from_following() {
    // Guards against a head that is longer than the longest frame.
    let fleet = Fleet::new(55, 3);
    let a = fleet.start(0, true).await;
    let b = fleet.start(1, true).await;
    let c = fleet.start(2, true).await;
    let observer = sync::Arc::new(Observer::default());
    let _node = fleet.follow(8, observer.clone());
    assert!(name(&[&a, &b, &c], "m").await);
    let mut accepted = 0;
    for letter in ["a", "b"] {
        let huge = letter.repeat(HUGE_BYTES / 2);
        accepted += u32::from(name(&[&a, &b, &c], &huge).await);
    }
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    assert!(
        hears(&*a.control(), &observer, 2).await,
        "{accepted} accepted"
    );
    assert_eq!(accepted, 0);
    assert!(!name(&[&a, &b, &c], "").await);
}
