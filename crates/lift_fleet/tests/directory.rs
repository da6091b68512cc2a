//! Guards against stale or diverging directories when announcements arrive late, repeatedly and
//! over several paths.

use std::{net, time};

use lift_fleet::{
    Announcement, BackendRecord, BackendState, Directory, LoadedModel, UpdateOutcome,
};
use proptest::prelude::*;

fn announcement(id: &str, started_at: u64, sequence: u64) -> Announcement {
    Announcement {
        id: String::from(id),
        started_at: time::SystemTime::UNIX_EPOCH + time::Duration::from_millis(started_at),
        sequence,
        service: String::from("ledger"),
        address: net::SocketAddr::from(([10, 0, 0, 1], 8000)),
        failure_domain: String::from("a"),
        slots: 6,
        state: BackendState::Ready,
        warmup_left: time::Duration::ZERO,
        models: Vec::new(),
    }
}

fn draining(mut announcement: Announcement) -> Announcement {
    announcement.state = BackendState::Draining;
    announcement
}

#[test]
fn a_delayed_heartbeat_does_not_undo_draining() {
    // Guards against new requests for a draining server after an earlier heartbeat arrives late.
    let now = time::Instant::now();
    let mut directory = Directory::new();
    assert_eq!(
        directory.apply_announcement(now, announcement("s", 1, 1)),
        UpdateOutcome::Changed
    );
    let drained = draining(announcement("s", 1, 3));
    assert_eq!(
        directory.apply_announcement(now, drained),
        UpdateOutcome::Changed
    );
    assert_eq!(
        directory.apply_announcement(now, announcement("s", 1, 2)),
        UpdateOutcome::Stale
    );
    let state = directory.get("s").map(|r| r.announcement.state);
    assert_eq!(state, Some(BackendState::Draining));
}

#[test]
fn a_gone_server_stays_gone_until_it_restarts() {
    // Guards against a heartbeat that arrives after the deregistration although it was sent before.
    let now = time::Instant::now();
    let mut directory = Directory::new();
    directory.apply_announcement(now, announcement("s", 1, 1));
    assert!(directory.deregister(now, "s", None).is_some());
    assert!(directory.deregister(now, "s", None).is_none());
    assert_eq!(
        directory.apply_announcement(now, announcement("s", 1, 9)),
        UpdateOutcome::Stale
    );
    // A restarted process under the same identifier restarts its sequence.
    assert_eq!(
        directory.apply_announcement(now, announcement("s", 2, 1)),
        UpdateOutcome::Changed
    );
    let state = directory.get("s").map(|r| r.announcement.state);
    assert_eq!(state, Some(BackendState::Ready));
}

#[test]
fn deregistration_of_an_earlier_start_does_not_affect_a_later_one() {
    // Guards against the loss of a restarted server to a delayed deregistration.
    let now = time::Instant::now();
    let mut directory = Directory::new();
    directory.apply_announcement(now, announcement("s", 2, 1));
    let earlier = time::SystemTime::UNIX_EPOCH + time::Duration::from_millis(1);
    assert!(directory.deregister(now, "s", Some(earlier)).is_none());
}

#[test]
fn a_deregistration_wins_over_heartbeats_that_another_member_has_received() {
    // Guards against requests to a server that has left, because the member that received its
    // deregistration had missed its last heartbeats.
    let now = time::Instant::now();
    for last_heartbeat in [2, 3, 9] {
        let (mut receiver, mut other) = (Directory::new(), Directory::new());
        receiver.apply_announcement(now, announcement("s", 1, 1));
        other.apply_announcement(now, announcement("s", 1, last_heartbeat));
        let gone = receiver.deregister(now, "s", None).unwrap();
        assert_eq!(other.merge(now, &gone), UpdateOutcome::Changed);
        let state = other.get("s").map(|r| r.announcement.state);
        assert_eq!(state, Some(BackendState::Gone));
        // And it stays so at both, whichever record comes last.
        let heartbeat = announcement("s", 1, last_heartbeat + 1);
        for directory in [&mut receiver, &mut other] {
            let outcome = directory.apply_announcement(now, heartbeat.clone());
            assert_eq!(outcome, UpdateOutcome::Stale);
        }
    }
}

#[test]
fn a_server_replaces_earlier_ones_at_its_address() {
    // Guards against requests to a crashed server whose heartbeat was delayed by a partition
    // while another server has taken its address.
    let now = time::Instant::now();
    let mut directory = Directory::new();
    directory.apply_announcement(now, announcement("old", 1, 5));
    directory.apply_announcement(now, announcement("new", 2, 1));
    let state = directory.get("old").map(|r| r.announcement.state);
    assert_eq!(state, Some(BackendState::Gone));
    assert_eq!(
        directory.apply_announcement(now, announcement("old", 1, 6)),
        UpdateOutcome::Stale
    );
    assert_eq!(
        directory.apply_announcement(now, announcement("older", 0, 1)),
        UpdateOutcome::Stale
    );
}

#[test]
fn silence_is_reported_once_and_ends_with_the_next_heartbeat() {
    let (now, second) = (time::Instant::now(), time::Duration::from_secs(1));
    let mut directory = Directory::new();
    directory.apply_announcement(now, announcement("s", 1, 1));
    assert!(directory.expire(now + second, 2 * second).is_empty());
    assert_eq!(directory.expire(now + 3 * second, 2 * second).len(), 1);
    assert!(directory.expire(now + 4 * second, 2 * second).is_empty());
    let back = directory.apply_announcement(now + 5 * second, announcement("s", 1, 2));
    assert_eq!(back, UpdateOutcome::Changed);
}

#[test]
fn unchanged_heartbeats_only_refresh_the_record() {
    // Guards against sending every heartbeat to every node.
    let now = time::Instant::now();
    let mut directory = Directory::new();
    directory.apply_announcement(now, announcement("s", 1, 1));
    assert_eq!(
        directory.apply_announcement(now, announcement("s", 1, 2)),
        UpdateOutcome::Refreshed
    );
    let mut loaded = announcement("s", 1, 3);
    loaded.models.push(LoadedModel {
        name: String::from("m"),
        version: 2,
    });
    assert_eq!(
        directory.apply_announcement(now, loaded),
        UpdateOutcome::Changed
    );
}

proptest! {
    #[test]
    fn directories_with_the_same_records_are_equal(
        received in proptest::collection::vec((0..3_u64, 0..4_u64, 0..6_u64, any::<bool>()), 1..20),
        order in any::<u64>(),
    ) {
        // Guards against nodes that stay inconsistent because messages arrived in another order.
        let now = time::Instant::now();
        let record = |&(id, started_at, sequence, is_draining): &(u64, u64, u64, bool)| {
            let mut announcement = announcement(&format!("s{id}"), started_at, 10 * sequence + u64::from(is_draining));
            // Each identifier has its own address.
            announcement.address.set_port(8000 + id as u16);
            if is_draining {
                announcement.state = BackendState::Draining;
            }
            BackendRecord { announcement, is_silent: false }
        };
        let records: Vec<_> = received.iter().map(record).collect();
        let mut shuffled = records.clone();
        let rotation = (order as usize) % shuffled.len();
        shuffled.rotate_left(rotation);
        shuffled.reverse();
        let merged = |records: &[BackendRecord]| {
            let mut directory = Directory::new();
            for record in records {
                directory.merge(now, record);
            }
            let mut merged: Vec<_> = directory.records().cloned().collect();
            merged.sort_by(|a, b| a.announcement.id.cmp(&b.announcement.id));
            merged
        };
        prop_assert_eq!(merged(&records), merged(&shuffled));
    }
}
