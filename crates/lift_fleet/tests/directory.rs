//! Announcements that come late, twice and by several ways.

use std::{net, time};

use lift_fleet::{Announcement, BackendRecord, BackendState, ChangeSize, Directory, LoadedModel};
use proptest::prelude::*;

fn said(id: &str, born: u64, sequence: u64) -> Announcement {
    Announcement {
        id: String::from(id),
        born: time::SystemTime::UNIX_EPOCH + time::Duration::from_millis(born),
        sequence,
        service: String::from("ledger"),
        address: net::SocketAddr::from(([10, 0, 0, 1], 8000)),
        failure_domain: String::from("a"),
        slots: 6,
        state: BackendState::Ready,
        warming: time::Duration::ZERO,
        models: Vec::new(),
    }
}

fn draining(mut announcement: Announcement) -> Announcement {
    announcement.state = BackendState::Draining;
    announcement
}

#[test]
fn a_late_heartbeat_does_not_undo_draining() {
    // Guards against new work for a server that leaves, after a heartbeat from before arrives.
    let now = time::Instant::now();
    let mut directory = Directory::new();
    assert_eq!(
        directory.announce(now, said("s", 1, 1)),
        ChangeSize::Changed
    );
    let leaving = draining(said("s", 1, 3));
    assert_eq!(directory.announce(now, leaving), ChangeSize::Changed);
    assert_eq!(directory.announce(now, said("s", 1, 2)), ChangeSize::Stale);
    let state = directory.get("s").map(|r| r.announcement.state);
    assert_eq!(state, Some(BackendState::Draining));
}

#[test]
fn a_server_that_is_gone_stays_gone_until_it_starts_again() {
    // Guards against a heartbeat that overtook the last call.
    let now = time::Instant::now();
    let mut directory = Directory::new();
    directory.announce(now, said("s", 1, 1));
    assert!(directory.leave(now, "s", None).is_some());
    assert!(directory.leave(now, "s", None).is_none());
    assert_eq!(directory.announce(now, said("s", 1, 9)), ChangeSize::Stale);
    // The same name starts again, and its sequence starts anew.
    assert_eq!(
        directory.announce(now, said("s", 2, 1)),
        ChangeSize::Changed
    );
    let state = directory.get("s").map(|r| r.announcement.state);
    assert_eq!(state, Some(BackendState::Ready));
}

#[test]
fn the_last_call_of_an_earlier_start_does_not_end_a_later_one() {
    // Guards against the loss of a restarted server.
    let now = time::Instant::now();
    let mut directory = Directory::new();
    directory.announce(now, said("s", 2, 1));
    let earlier = time::SystemTime::UNIX_EPOCH + time::Duration::from_millis(1);
    assert!(directory.leave(now, "s", Some(earlier)).is_none());
}

#[test]
fn an_address_belongs_to_the_server_that_started_last() {
    // Guards against requests to a crashed server whose heartbeat was held up by a partition,
    // while another one has its address.
    let now = time::Instant::now();
    let mut directory = Directory::new();
    directory.announce(now, said("old", 1, 5));
    directory.announce(now, said("new", 2, 1));
    let state = directory.get("old").map(|r| r.announcement.state);
    assert_eq!(state, Some(BackendState::Gone));
    assert_eq!(
        directory.announce(now, said("old", 1, 6)),
        ChangeSize::Stale
    );
    assert_eq!(
        directory.announce(now, said("older", 0, 1)),
        ChangeSize::Stale
    );
}

#[test]
fn silence_is_noticed_once_and_ends_with_the_next_heartbeat() {
    let (now, second) = (time::Instant::now(), time::Duration::from_secs(1));
    let mut directory = Directory::new();
    directory.announce(now, said("s", 1, 1));
    assert!(directory.expire(now + second, 2 * second).is_empty());
    assert_eq!(directory.expire(now + 3 * second, 2 * second).len(), 1);
    assert!(directory.expire(now + 4 * second, 2 * second).is_empty());
    let back = directory.announce(now + 5 * second, said("s", 1, 2));
    assert_eq!(back, ChangeSize::Changed);
}

#[test]
fn only_news_is_passed_on() {
    // Guards against a message to every node for every heartbeat.
    let now = time::Instant::now();
    let mut directory = Directory::new();
    directory.announce(now, said("s", 1, 1));
    assert_eq!(
        directory.announce(now, said("s", 1, 2)),
        ChangeSize::Refreshed
    );
    let mut loaded = said("s", 1, 3);
    loaded.models.push(LoadedModel {
        name: String::from("m"),
        version: 2,
    });
    assert_eq!(directory.announce(now, loaded), ChangeSize::Changed);
}

proptest! {
    #[test]
    fn nodes_that_heard_the_same_know_the_same(
        heard in proptest::collection::vec((0..3_u64, 0..4_u64, 0..6_u64, any::<bool>()), 1..20),
        order in any::<u64>(),
    ) {
        // Guards against nodes that disagree for good because messages came in another order.
        let now = time::Instant::now();
        let record = |&(id, born, sequence, leaves): &(u64, u64, u64, bool)| {
            let mut said = said(&format!("s{id}"), born, 10 * sequence + u64::from(leaves));
            // Each name has an address of its own.
            said.address.set_port(8000 + id as u16);
            if leaves {
                said.state = BackendState::Draining;
            }
            BackendRecord { announcement: said, is_silent: false }
        };
        let records: Vec<_> = heard.iter().map(record).collect();
        let mut shuffled = records.clone();
        let turn = (order as usize) % shuffled.len();
        shuffled.rotate_left(turn);
        shuffled.reverse();
        let known = |records: &[BackendRecord]| {
            let mut directory = Directory::new();
            for record in records {
                directory.merge(now, record);
            }
            let mut known: Vec<_> = directory.records().cloned().collect();
            known.sort_by(|a, b| a.announcement.id.cmp(&b.announcement.id));
            known
        };
        prop_assert_eq!(known(&records), known(&shuffled));
    }
}
