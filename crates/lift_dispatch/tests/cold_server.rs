//! Guards against a cold server that is taken for a warm one, and against a warm one that stays
//! limited.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
mod cold_play;

use std::time;

use cold_play::{MS, limit, record};
use lift_dispatch::{ColdServer, ColdState};

const COLD: ColdState = ColdState::Cold;
const WARM: ColdState = ColdState::Warm;

/// A server that was there when the gateway started, of whose limit the gateway may use two requests.
fn known(now: time::Instant) -> ColdServer {
    let mut server = ColdServer::default();
    server.configure(Some(limit()), 2);
    server.announce(now, &record(1, time::Duration::ZERO), false);
    assert_eq!(server.state(now), WARM);
    server
}

#[test]
fn an_announced_warm_up_counts_down_from_its_receipt() {
    let now = time::Instant::now();
    let mut server = known(now);
    server.announce(now, &record(1, 2_000 * MS), true);
    assert_eq!(server.state(now + 1_999 * MS), COLD);
    assert_eq!(server.state(now + 2_000 * MS), WARM);
    // The next announcement says that it is warm already.
    server.announce(now + 500 * MS, &record(1, time::Duration::ZERO), true);
    assert_eq!(server.state(now + 500 * MS), WARM);
    // As does one at the gateway's start, if the server has started before it.
    let mut server = ColdServer::default();
    server.configure(Some(limit()), 2);
    server.announce(now, &record(1, 1_000 * MS), false);
    assert_eq!(server.state(now), COLD);
    server.announce(now, &record(1, time::Duration::MAX), false);
    assert_eq!(server.state(now + 60_000 * MS), COLD);
}

#[test]
fn a_server_that_has_started_during_traffic_is_cold() {
    let now = time::Instant::now();
    let mut server = known(now);
    server.announce(now, &record(2, time::Duration::ZERO), true);
    assert_eq!(server.state(now + 2_999 * MS), COLD);
    assert_eq!(server.state(now + 3_000 * MS), WARM);
}

#[test]
fn a_server_that_was_lost_is_cold_until_it_has_been_back_for_a_warm_up() {
    let now = time::Instant::now();
    let mut server = known(now);
    server.record_failure(now);
    server.record_failure(now + 80_000 * MS);
    // What it sent before it was lost comes late.
    server.announce(now + 80_000 * MS, &record(1, time::Duration::ZERO), true);
    assert_eq!(server.state(now + 90_000 * MS), COLD);
    server.record_answer(now + 90_000 * MS);
    assert_eq!(server.state(now + 92_999 * MS), COLD);
    assert_eq!(server.state(now + 93_000 * MS), WARM);
    let silent = lift_fleet::BackendRecord {
        is_silent: true,
        ..record(1, time::Duration::ZERO)
    };
    server.announce(now + 95_000 * MS, &silent, true);
    assert_eq!(server.state(now + 99_000 * MS), COLD);
    server.announce(now + 99_000 * MS, &record(1, time::Duration::ZERO), true);
    assert_eq!(server.state(now + 101_999 * MS), COLD);
    assert_eq!(server.state(now + 102_000 * MS), WARM);
}

/// A gateway without a share sends nothing by which it could find out that the server is back.
#[test]
fn a_server_that_nobody_tries_again_does_not_stay_cold() {
    let now = time::Instant::now();
    let mut server = known(now);
    server.configure(Some(limit()), 0);
    server.record_failure(now);
    assert_eq!(server.state(now + 29_999 * MS), ColdState::Full);
    assert_eq!(server.state(now + 30_000 * MS), WARM);
}

#[test]
fn requests_just_before_a_server_turned_cold_count() {
    let now = time::Instant::now();
    let mut server = known(now);
    assert!((0..20).all(|_| server.take(now)));
    server.mark(now + 100 * MS);
    assert!(!server.take(now + 1_000 * MS));
    assert_eq!(server.state(now + 1_000 * MS), ColdState::Full);
    assert!(server.take(now + 1_200 * MS));
}

#[test]
fn a_request_that_does_not_count_gives_its_place_back() {
    let now = time::Instant::now();
    let mut server = known(now);
    server.mark(now);
    assert!(server.take(now) && server.take(now + 10 * MS));
    assert!(!server.take(now + 20 * MS));
    server.give_back(now + 10 * MS);
    assert!(server.take(now + 20 * MS));
    assert!(!server.take(now + 30 * MS));
    // A refusal that comes after its second gives nothing back.
    assert!(server.take(now + 1_160 * MS) && server.take(now + 1_180 * MS));
    server.give_back(now);
    assert!(!server.take(now + 1_190 * MS));
}

/// A gateway that starts while a failure domain is evacuated may hear of the restoration before it
/// knows the limits of the servers there.
#[test]
fn a_server_that_counts_as_cold_before_its_limit_is_known_is_cold() {
    let now = time::Instant::now();
    let mut server = ColdServer::default();
    server.mark(now);
    server.configure(Some(limit()), 2);
    assert_eq!(server.state(now + 2_999 * MS), COLD);
    assert_eq!(server.state(now + 3_000 * MS), WARM);
}

/// Opening a connection may take 400 ms. Requests that wait for that would arrive together with those
/// of the next second if they counted from their selection.
#[test]
fn requests_count_from_when_their_connection_is_open() {
    let now = time::Instant::now();
    let mut server = known(now);
    server.mark(now);
    assert!(server.take(now) && server.take(now + 10 * MS));
    server.update_send_time(now, now + 400 * MS);
    // The other one counts while its connection is opened.
    assert!(!server.take(now + 1_159 * MS));
    server.update_send_time(now + 10 * MS, now + 410 * MS);
    assert!(!server.take(now + 1_400 * MS));
    assert!(server.take(now + 1_550 * MS));
    assert!(!server.take(now + 1_555 * MS));
    server.give_back(now + 410 * MS);
    assert!(server.take(now + 1_555 * MS));
}

/// A service may set a warm-up without a limit. Its cold servers are slow all the same.
#[test]
fn a_cold_server_without_a_limit_is_never_full() {
    let now = time::Instant::now();
    let mut server = known(now);
    let warmup = lift_fleet::Warmup {
        duration: 3_000 * MS,
        requests_per_s: None,
    };
    let limit = lift_dispatch::ColdLimit::new(&warmup, 1.5, 5.0);
    assert_eq!(limit.requests, None);
    server.configure(Some(limit), u32::MAX);
    server.mark(now);
    assert!((0..1_000).all(|_| server.take(now)));
    assert_eq!(server.state(now), COLD);
}

#[test]
fn a_service_without_a_warm_up_has_no_limit() {
    let now = time::Instant::now();
    let mut server = known(now);
    server.configure(None, 0);
    server.announce(now, &record(2, 3_000 * MS), true);
    server.record_failure(now);
    assert_eq!(server.state(now), WARM);
    assert!((0..1_000).all(|_| server.take(now)));
}
