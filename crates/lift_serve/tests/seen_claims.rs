//! Guards against an agent that runs an attempt twice or proves "not run" falsely.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time;

use lift_serve::{ClaimStart, SeenAttempt, SeenClaims};

fn key(name: &str) -> lift_state::ClaimKey {
    lift_state::ClaimKey {
        workspace: String::from("depot"),
        service: String::from("ledger"),
        key: String::from(name),
    }
}

#[test]
fn an_attempt_runs_once_and_a_refused_one_never() {
    let (claims, now) = (SeenClaims::new(), time::Instant::now());
    assert_eq!(claims.start(now, &key("a"), 1), ClaimStart::Run);
    assert_eq!(claims.start(now, &key("a"), 1), ClaimStart::Seen);
    assert_eq!(claims.start(now, &key("a"), 2), ClaimStart::Seen);
    assert_eq!(claims.refuse(now, &key("a"), 1), ClaimStart::Seen);
    assert_eq!(claims.refuse(now, &key("b"), 1), ClaimStart::Refused);
    assert_eq!(claims.start(now, &key("b"), 1), ClaimStart::Refused);
    assert_eq!(claims.start(now, &key("b"), 2), ClaimStart::Run);
}

#[test]
fn a_query_before_the_call_refuses_the_call() {
    let (claims, now) = (SeenClaims::new(), time::Instant::now());
    assert_eq!(claims.query(now, &key("a"), 1), SeenAttempt::Never);
    assert_eq!(claims.start(now, &key("a"), 1), ClaimStart::Refused);
    assert_eq!(claims.start(now, &key("a"), 2), ClaimStart::Run);
    assert_eq!(claims.query(now, &key("a"), 2), SeenAttempt::Running);
    claims.finish(&key("a"), 2, SeenAttempt::Unknown);
    assert_eq!(claims.query(now, &key("a"), 2), SeenAttempt::Unknown);
}

#[test]
fn a_full_memory_refuses_instead_of_forgetting() {
    let (claims, now) = (SeenClaims::new(), time::Instant::now());
    let mut refused = 0;
    for i in 0..300_000 {
        let start = claims.start(now, &key(&i.to_string()), 1);
        refused += u32::from(start == ClaimStart::Refused);
    }
    assert!(refused > 0);
    assert_eq!(claims.start(now, &key("0"), 1), ClaimStart::Seen);
    let later = now + time::Duration::from_secs(26 * 3600);
    assert_eq!(claims.start(later, &key("late"), 1), ClaimStart::Run);
}
