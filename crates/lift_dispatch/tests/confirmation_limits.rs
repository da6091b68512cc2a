//! Tests of how long a gateway may act on its configuration.

use std::time;

use proptest::prelude::*;

fn limits() -> lift_dispatch::ConfirmationLimits {
    lift_dispatch::ConfirmationLimits {
        serving: time::Duration::from_millis(4_000),
        denial: time::Duration::from_millis(2_000),
    }
}

#[test]
fn nothing_is_served_or_denied_without_a_confirmation() {
    // Guards against a gateway that answers before it knows any configuration.
    assert!(!limits().allow_serving(None));
    assert!(!limits().allow_denial(None));
}

proptest! {
    /// Guards against a 404 for a route that every gateway must know: a configuration was accepted
    /// at `accepted`, the gateway last asked at `asked`, and a request for the new route arrives
    /// at `now`, later than the time in which the configuration must be in force.
    #[test]
    fn a_route_that_must_be_known_is_never_denied(
        accepted in 0_u64..10_000,
        asked in 0_u64..10_000,
        late_ms in 1_u64..10_000,
    ) {
        let denial = limits().denial.as_millis() as u64;
        let now = accepted + denial + late_ms;
        prop_assume!(asked <= now);
        let age = time::Duration::from_millis(now - asked);
        let knows_route = asked >= accepted;
        prop_assert!(knows_route || !limits().allow_denial(Some(age)));
    }
}
