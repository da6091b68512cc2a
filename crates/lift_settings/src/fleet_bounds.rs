//! Times and shares that a deployment sets.

use crate::settings_error;

/// Bounds that the fleet must keep. Each has a default.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct FleetBounds {
    /// Longest time of a graceful shutdown, in seconds.
    pub grace_s: f64,
    /// Time between heartbeats of a backend server, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time within which an accepted configuration must be in force everywhere, in
    /// milliseconds.
    pub apply_ms: u64,
    /// Time after which a key that was taken away must not be accepted anywhere, in
    /// milliseconds.
    pub revoke_ms: u64,
    /// Time after which no request may reach a backend server in an evacuated failure domain, in
    /// milliseconds. Without it `revoke_ms` alone limits for how long a gateway serves requests
    /// that control does not confirm its state to.
    pub evacuate_ms: Option<u64>,
    /// Time after which no request may begin on older weights, in milliseconds.
    pub weights_ms: u64,
    /// Further attempts that each request of a service pays for, over all gateways.
    pub repeat_share: f64,
    /// Further attempts of a service that may come at once, over all gateways.
    pub repeat_burst: f64,
    /// Requests that a cold backend server may get, as a multiple of those that it tolerates, over
    /// all gateways.
    pub cold_overage: f64,
    /// Requests that a cold backend server may get beyond that, within one second.
    pub cold_slack: f64,
}

impl FleetBounds {
    /// Checks the range of each field.
    pub(crate) fn check(&self) -> Result<(), error_stack::Report<settings_error::SettingsError>> {
        let fields = [
            ("bounds.grace_s", self.grace_s, 0.1, 3_600.0),
            (
                "bounds.heartbeat_ms",
                self.heartbeat_ms as f64,
                10.0,
                600_000.0,
            ),
            ("bounds.apply_ms", self.apply_ms as f64, 500.0, 600_000.0),
            ("bounds.revoke_ms", self.revoke_ms as f64, 500.0, 600_000.0),
            (
                "bounds.evacuate_ms",
                self.evacuate_ms.unwrap_or(self.revoke_ms) as f64,
                500.0,
                600_000.0,
            ),
            (
                "bounds.weights_ms",
                self.weights_ms as f64,
                500.0,
                86_400_000.0,
            ),
            ("bounds.repeat_share", self.repeat_share, 0.0, 10.0),
            ("bounds.repeat_burst", self.repeat_burst, 0.0, 1_000_000.0),
            ("bounds.cold_overage", self.cold_overage, 0.0, 1_000.0),
            ("bounds.cold_slack", self.cold_slack, 0.0, 1_000_000.0),
        ];
        for (path, value, least, most) in fields {
            if !(least..=most).contains(&value) {
                let problem = format!("{value} is out of range");
                let allowed = format!("{least} to {most}");
                let error = settings_error::SettingsError::new(path, problem, allowed);
                return Err(error_stack::Report::new(error));
            }
        }
        Ok(())
    }
}

impl Default for FleetBounds {
    fn default() -> Self {
        Self {
            grace_s: 30.0,
            heartbeat_ms: 1_000,
            apply_ms: 2_000,
            revoke_ms: 5_000,
            evacuate_ms: None,
            weights_ms: 60_000,
            repeat_share: 0.2,
            repeat_burst: 100.0,
            cold_overage: 1.0,
            cold_slack: 0.0,
        }
    }
}
