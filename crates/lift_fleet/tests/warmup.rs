//! Guards against gateways that take a cold server for a warm one because nobody tells them.

use std::{net, time};

use lift_fleet::{Announcement, BackendRecord, BackendState, Directory, UpdateOutcome};

const S: time::Duration = time::Duration::from_secs(1);

fn announcement(sequence: u64, warmup_left: time::Duration) -> Announcement {
    Announcement {
        id: String::from("s"),
        started_at: time::SystemTime::UNIX_EPOCH,
        sequence,
        service: String::from("ledger"),
        address: net::SocketAddr::from(([10, 0, 0, 1], 8000)),
        failure_domain: String::from("a"),
        slots: 6,
        state: BackendState::Ready,
        warmup_left,
        models: Vec::new(),
    }
}

#[test]
fn a_server_that_turns_cold_is_a_change_and_one_that_warms_up_is_none() {
    let start = time::Instant::now();
    let mut directory = Directory::new();
    directory.apply_announcement(start, announcement(1, time::Duration::ZERO));
    let mut outcome = |at_ms: u32, sequence, left_ms| {
        let left = time::Duration::from_millis(left_ms);
        let now = start + S * at_ms / 1_000;
        directory.apply_announcement(now, announcement(sequence, left))
    };
    assert_eq!(outcome(1_000, 2, 3_000), UpdateOutcome::Changed);
    // The next heartbeat is late, so that more is left than was expected by now.
    assert_eq!(outcome(2_100, 3, 2_000), UpdateOutcome::Refreshed);
    assert_eq!(outcome(3_000, 4, 3_000), UpdateOutcome::Changed);
    assert_eq!(outcome(3_900, 5, 2_000), UpdateOutcome::Refreshed);
    assert_eq!(outcome(6_500, 6, 0), UpdateOutcome::Refreshed);
    assert_eq!(outcome(7_500, 7, 100), UpdateOutcome::Changed);
    // A late copy of an earlier heartbeat tells nothing.
    assert_eq!(outcome(8_000, 6, 3_000), UpdateOutcome::Stale);
}

#[test]
fn a_gateway_that_gets_changes_only_learns_of_each_cold_time() {
    let start = time::Instant::now();
    let (mut member, mut gateway) = (Directory::new(), Directory::new());
    let mut told = Vec::new();
    for beat in 0..20_u32 {
        let now = start + S * beat;
        // Cold from the start, and again from 10 s on, each time for 3 s.
        let left = (S * 3).saturating_sub(S * (beat % 10));
        let announcement = announcement(u64::from(beat), left);
        if member.apply_announcement(now, announcement.clone()) != UpdateOutcome::Changed {
            continue;
        }
        let record = BackendRecord {
            announcement,
            is_silent: false,
        };
        if gateway.merge(now, &record) == UpdateOutcome::Changed {
            told.push(beat);
        }
    }
    assert_eq!(told, [0, 10]);
}
