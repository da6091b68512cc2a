//! Guards against an agent that runs an attempt twice, or that reports "will not run" for an
//! attempt that runs later. Repeated calls, calls that arrive after a query and a full table
//! could cause this.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time;

use lift_serve::{AttemptState, ClaimDecision, ClaimTable};

fn key(name: &str) -> lift_state::ClaimKey {
    lift_state::ClaimKey {
        workspace: String::from("depot"),
        service: String::from("ledger"),
        key: String::from(name),
    }
}

#[test]
fn an_attempt_runs_once_and_a_refused_attempt_never_runs() {
    let (claims, now) = (ClaimTable::new(), time::Instant::now());
    assert_eq!(claims.start(now, &key("a"), 1), ClaimDecision::Run);
    assert_eq!(
        claims.start(now, &key("a"), 1),
        ClaimDecision::AlreadyStarted
    );
    assert_eq!(
        claims.start(now, &key("a"), 2),
        ClaimDecision::AlreadyStarted
    );
    assert_eq!(
        claims.refuse(now, &key("a"), 1),
        ClaimDecision::AlreadyStarted
    );
    assert_eq!(claims.refuse(now, &key("b"), 1), ClaimDecision::WillNotRun);
    assert_eq!(claims.start(now, &key("b"), 1), ClaimDecision::WillNotRun);
    assert_eq!(claims.start(now, &key("b"), 2), ClaimDecision::Run);
}

#[test]
fn a_query_refuses_a_call_that_arrives_later() {
    let (claims, now) = (ClaimTable::new(), time::Instant::now());
    assert_eq!(claims.query(now, &key("a"), 1), AttemptState::WillNotRun);
    assert_eq!(claims.start(now, &key("a"), 1), ClaimDecision::WillNotRun);
    assert_eq!(claims.start(now, &key("a"), 2), ClaimDecision::Run);
    assert_eq!(claims.query(now, &key("a"), 2), AttemptState::Running);
    claims.finish(&key("a"), 2, AttemptState::Unknown);
    assert_eq!(claims.query(now, &key("a"), 2), AttemptState::Unknown);
}

#[test]
fn a_full_table_refuses_new_claims_instead_of_dropping_claims() {
    let (claims, now) = (ClaimTable::new(), time::Instant::now());
    let mut refused = 0;
    for i in 0..300_000 {
        let start = claims.start(now, &key(&i.to_string()), 1);
        refused += u32::from(start == ClaimDecision::WillNotRun);
    }
    assert!(refused > 0);
    assert_eq!(
        claims.start(now, &key("0"), 1),
        ClaimDecision::AlreadyStarted
    );
    let later = now + time::Duration::from_secs(26 * 3600);
    assert_eq!(claims.start(later, &key("late"), 1), ClaimDecision::Run);
}

#[test]
fn a_full_table_proves_nothing_about_a_call_that_may_still_arrive() {
    // Guards against "not run" for a call that is late and runs once old claims have expired.
    let (claims, now) = (ClaimTable::new(), time::Instant::now());
    for i in 0..300_000 {
        claims.start(now, &key(&i.to_string()), 1);
    }
    assert_eq!(claims.query(now, &key("late"), 1), AttemptState::Unknown);
    let later = now + time::Duration::from_secs(26 * 3600);
    assert_eq!(claims.start(later, &key("late"), 1), ClaimDecision::Run);
    assert_eq!(
        claims.query(later, &key("other"), 1),
        AttemptState::WillNotRun
    );
    assert_eq!(
        claims.start(later, &key("other"), 1),
        ClaimDecision::WillNotRun
    );
}
