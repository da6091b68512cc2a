//! Limits of a gateway and an agent from the settings of a fleet.

use std::time;

/// Largest age of the confirmation of the configuration and the evacuations, as a part of the time
/// in which a key must be refused or an evacuated failure domain left. The rest is for requests on
/// their way to a backend server.
const CONFIRMATION_PERCENT: u32 = 80;

/// Part of the time in which new weights must be in place for which older ones are accepted.
/// The rest is for requests that wait on a narrow link and in the queue of a backend server.
const WEIGHTS_PERCENT: u32 = 85;

/// Part of the repeats that the deployment allows that is used. The rest covers the
/// differences between gateways and the ends of the window in which they are counted.
const REPEAT_PART: f64 = 0.7;

/// Limits of a gateway.
pub(crate) fn gateway(
    bounds: &lift_settings::FleetBounds,
    gateway: &lift_settings::FleetGateway,
) -> lift_gateway::GatewayLimits {
    let unconfirmed_ms = bounds
        .evacuate_ms
        .map_or(bounds.revoke_ms, |ms| ms.min(bounds.revoke_ms));
    lift_gateway::GatewayLimits {
        confirmation: lift_dispatch::ConfirmationLimits {
            serving: percent(unconfirmed_ms, CONFIRMATION_PERCENT),
            denial: time::Duration::from_millis(bounds.apply_ms),
        },
        weights_grace: weights_grace(bounds),
        retry_ratio: bounds.repeat_share * REPEAT_PART,
        retry_burst: bounds.repeat_burst * REPEAT_PART,
        cold_overage: bounds.cold_overage,
        cold_slack: bounds.cold_slack,
        locality_costs: gateway.locality.map(locality_costs),
        ..lift_gateway::GatewayLimits::default()
    }
}

/// Time for which requests may start on older weights after a new target version was set.
pub(crate) fn weights_grace(bounds: &lift_settings::FleetBounds) -> time::Duration {
    percent(bounds.weights_ms, WEIGHTS_PERCENT)
}

fn locality_costs(locality: lift_settings::FleetLocality) -> lift_dispatch::LocalityCosts {
    lift_dispatch::LocalityCosts {
        domain: time::Duration::from_millis(locality.domain_cost_ms),
        region: time::Duration::from_millis(locality.region_cost_ms),
    }
}

fn percent(ms: u64, percent: u32) -> time::Duration {
    time::Duration::from_millis(ms) * percent / 100
}
