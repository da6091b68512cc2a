//! Guards against an exception that is ignored or that applies outside its scope, against scopes
//! whose text form is not parsed back, and against chunk ranges with gaps or overlaps.

#![allow(clippy::unwrap_used)]

use lift_types::{
    ExceptionValue, Idempotency, Location, Manifest, Policy, PolicyException, Priority, Scope,
    ServicePolicy, WorkspaceLimits,
};

fn location(host: u32) -> Location {
    Location {
        region: String::from("piedmont"),
        failure_domain: String::from("piedmont-a"),
        host,
    }
}

fn exception(since: u64, scope: &str, value: ExceptionValue) -> PolicyException {
    PolicyException {
        id: format!("e{since}"),
        scope: scope.parse().unwrap(),
        value,
        reason: String::from("freeze warning"),
        author: String::from("ops"),
        since,
    }
}

fn version(since: u64, scope: &str, name: &str) -> PolicyException {
    exception(since, scope, ExceptionValue::Version(String::from(name)))
}

#[test]
fn the_most_specific_version_exception_applies_whatever_its_age() {
    let mut policy = Policy::default();
    policy.default.version = Some(String::from("v9"));
    assert_eq!(policy.version_at(&location(1)).unwrap(), "v9");
    policy.exceptions.push(version(1, "host:1", "v1"));
    policy
        .exceptions
        .push(version(2, "failure-domain:piedmont-a", "v2"));
    policy.exceptions.push(version(3, "region:piedmont", "v3"));
    policy.exceptions.push(version(4, "region:plateau", "v4"));
    assert_eq!(policy.version_at(&location(1)).unwrap(), "v1");
    assert_eq!(policy.version_at(&location(2)).unwrap(), "v2");
    policy.exceptions.remove(1);
    assert_eq!(policy.version_at(&location(2)).unwrap(), "v3");
    assert_eq!(policy.version_exception_at(&location(2)).unwrap().id, "e3");
}

#[test]
fn the_newer_of_two_exceptions_for_the_same_scope_applies() {
    let mut policy = Policy::default();
    policy.exceptions.push(version(5, "region:piedmont", "v5"));
    policy.exceptions.push(version(4, "region:piedmont", "v4"));
    assert_eq!(policy.version_at(&location(1)).unwrap(), "v5");
}

#[test]
fn an_unknown_method_is_non_idempotent() {
    let mut policy = Policy::default();
    let mut ledger = ServicePolicy::default();
    ledger
        .methods
        .insert(String::from("lookup"), Idempotency::Idempotent);
    policy
        .default
        .services
        .insert(String::from("ledger"), ledger);
    assert_eq!(
        policy.idempotency_of("ledger", "lookup"),
        Idempotency::Idempotent
    );
    assert_eq!(
        policy.idempotency_of("ledger", "release"),
        Idempotency::NonIdempotent
    );
    assert_eq!(
        policy.idempotency_of("other", "lookup"),
        Idempotency::NonIdempotent
    );
    let value = ExceptionValue::Method(String::from("lookup"), Idempotency::NonIdempotent);
    policy
        .exceptions
        .push(exception(1, "service:ledger", value));
    assert_eq!(
        policy.idempotency_of("ledger", "lookup"),
        Idempotency::NonIdempotent
    );
}

#[test]
fn limits_and_priorities_apply_only_within_their_scope() {
    let mut policy = Policy::default();
    let limits = WorkspaceLimits {
        weight: 9,
        ..WorkspaceLimits::default()
    };
    policy.exceptions.push(exception(
        1,
        "workspace:crews",
        ExceptionValue::Limits(limits.clone()),
    ));
    policy.exceptions.push(exception(
        2,
        "workspace:crews",
        ExceptionValue::Priority(Priority::Urgent),
    ));
    policy.exceptions.push(exception(
        3,
        "service:assistant",
        ExceptionValue::Priority(Priority::Background),
    ));
    assert_eq!(policy.limits_of("crews"), &limits);
    assert_eq!(policy.limits_of("office"), &WorkspaceLimits::default());
    assert_eq!(policy.priority_of("crews", "assistant"), Priority::Urgent);
    assert_eq!(
        policy.priority_of("office", "assistant"),
        Priority::Background
    );
    assert_eq!(policy.priority_of("office", "ledger"), Priority::Normal);
}

#[test]
fn scopes_round_trip_through_text_and_invalid_ones_are_rejected() {
    for text in [
        "region:a",
        "failure-domain:b",
        "host:7",
        "workspace:c d",
        "service:e",
    ] {
        assert_eq!(text.parse::<Scope>().unwrap().to_string(), text);
    }
    for text in ["", "region", "region:", "host:x", "zone:a"] {
        assert!(
            text.parse::<Scope>()
                .unwrap_err()
                .to_string()
                .contains("region:NAME")
        );
    }
}

#[test]
fn chunk_ranges_cover_the_weights_without_gaps_or_overlaps() {
    let buf: Vec<u8> = (0..=255).cycle().take(1_001).collect();
    let manifest = Manifest::of(String::from("v1"), &buf, 100);
    manifest.check().unwrap();
    let mut end = 0;
    for index in 0..manifest.chunks.len() as u32 {
        let range = manifest.range(index).unwrap();
        assert_eq!(range.start, end);
        end = range.end;
    }
    assert_eq!(end, 1_001);
    assert_eq!(manifest.range(11), None);
    let full_last_chunk = Manifest {
        length: 1_100,
        ..manifest.clone()
    };
    assert!(full_last_chunk.check().is_ok());
    let one_byte_too_long = Manifest {
        length: 1_101,
        ..manifest
    };
    assert!(one_byte_too_long.check().is_err());
}
