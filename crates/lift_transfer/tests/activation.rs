//! Guards against a host that advertises a version which it does not hold completely or which
//! its engine has not confirmed, and against load orders that the lease does not cover.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::{Duration, Instant};

use lift_transfer::{Activation, ActivationAction, ActivationConfig, ActivationEvent};
use lift_types::ChunkHash;
use proptest::prelude::*;

const ORDER_LIMIT: Duration = Duration::from_millis(50);

fn version(i: u8) -> String {
    format!("v{}", i % 3)
}

fn hash(i: u8) -> ChunkHash {
    ChunkHash([i % 3; 32])
}

fn until(now: Instant, ms: u16) -> Instant {
    now + Duration::from_millis(u64::from(ms % 200))
}

/// Builds an arbitrary event; replies may be unexpected, late or wrong.
fn event(now: Instant, kind: u8, a: u8, b: u8, ms: u16) -> ActivationEvent {
    let reported_version = (b % 4 != 3).then(|| version(b));
    let reported_hash = (a % 4 != 3).then(|| hash(if a % 5 == 4 { b + 1 } else { b }));
    match kind % 12 {
        0 => ActivationEvent::TargetVersion {
            version: (a % 4 != 3).then(|| version(a)),
            revision: 1,
        },
        1 => ActivationEvent::Complete {
            version: version(a),
            hash: hash(a),
        },
        2 => ActivationEvent::Removed {
            version: version(a),
        },
        3 => ActivationEvent::LeaseRenewed {
            until: until(now, ms),
        },
        4 => ActivationEvent::Granted {
            fencing: u64::from(b),
            until: until(now, ms),
        },
        5 => ActivationEvent::NotGranted {
            retry_after: Duration::from_millis(5),
        },
        6 => ActivationEvent::Drained {
            in_progress: usize::from(a.is_multiple_of(3)),
        },
        7 => ActivationEvent::Loaded {
            version: reported_version,
            hash: reported_hash,
            fencing: u64::from(b),
        },
        8 => ActivationEvent::LoadFailed,
        9 => ActivationEvent::Reported {
            version: reported_version,
            hash: reported_hash,
            fencing: u64::from(b),
        },
        10 => ActivationEvent::EngineUnreachable,
        _ => ActivationEvent::Tick,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn only_complete_and_confirmed_versions_are_advertised(
        events in prop::collection::vec((any::<u8>(), any::<u8>(), 0_u8..250, any::<u16>()), 1..120)
    ) {
        let mut now = Instant::now();
        let cfg = ActivationConfig {
            order_limit: ORDER_LIMIT,
            retry_after: Duration::from_millis(5),
        };
        let mut activation = Activation::new(cfg);
        let mut complete = std::collections::BTreeMap::new();
        let mut confirmed = None;
        let mut lease = None;
        for (kind, a, b, ms) in events {
            now += Duration::from_millis(u64::from(ms % 16));
            let event = event(now, kind, a, b, ms);
            match &event {
                ActivationEvent::Complete { version, hash } => {
                    complete.insert(version.clone(), *hash);
                }
                ActivationEvent::Removed { version } => {
                    complete.remove(version);
                }
                ActivationEvent::LeaseRenewed { until } => lease = Some(*until),
                ActivationEvent::Loaded { version, hash, .. }
                | ActivationEvent::Reported { version, hash, .. } => {
                    confirmed = version.clone().zip(*hash);
                }
                ActivationEvent::EngineUnreachable => confirmed = None,
                ActivationEvent::LoadFailed if activation.is_loading() => confirmed = None,
                _ => {}
            }
            for action in activation.step(now, event) {
                match action {
                    ActivationAction::Load { version, hash, .. } => {
                        prop_assert_eq!(complete.get(&version), Some(&hash));
                        prop_assert!(lease.is_some_and(|until| until > now + ORDER_LIMIT));
                        prop_assert!(activation.serving().is_none());
                    }
                    ActivationAction::Advertise(serving) => {
                        let expected = complete.get(&serving.version).copied();
                        prop_assert!(expected.is_some());
                        prop_assert_eq!(&confirmed, &Some(serving.version).zip(expected));
                    }
                    _ => {}
                }
            }
            if let Some(serving) = activation.serving() {
                prop_assert!(complete.contains_key(&serving.version));
                prop_assert!(!activation.is_loading());
            }
        }
    }
}

#[test]
fn host_advertises_nothing_after_failed_order_until_a_load_succeeds() {
    let now = Instant::now();
    let lease = now + Duration::from_secs(60);
    let cfg = ActivationConfig {
        order_limit: ORDER_LIMIT,
        retry_after: Duration::from_millis(5),
    };
    let mut activation = Activation::new(cfg);
    let reported = ActivationEvent::Reported {
        version: Some(version(0)),
        hash: Some(hash(0)),
        fencing: 1,
    };
    let complete = |i| ActivationEvent::Complete {
        version: version(i),
        hash: hash(i),
    };
    activation.step(now, ActivationEvent::LeaseRenewed { until: lease });
    activation.step(now, complete(0));
    activation.step(now, complete(1));
    activation.step(now, reported.clone());
    assert_eq!(activation.serving().unwrap().version, version(0));
    let target = ActivationEvent::TargetVersion {
        version: Some(version(1)),
        revision: 2,
    };
    activation.step(now, target);
    let granted = ActivationEvent::Granted {
        fencing: 2,
        until: lease,
    };
    activation.step(now, granted);
    activation.step(now, ActivationEvent::Drained { in_progress: 0 });
    assert!(activation.is_loading());
    activation.step(now, ActivationEvent::LoadFailed);
    // The engine still reports the old version, but the failed order may yet take effect.
    activation.step(now, reported);
    assert_eq!(activation.serving(), None);
}
