//! Limits of an activation.

use std::time;

/// Limits of a [`crate::Activation`].
#[derive(Clone, Copy, Debug)]
pub struct ActivationConfig {
    /// Maximum duration of a load order. The lease and the grant must outlast it.
    pub order_limit: time::Duration,
    /// Pause after a failed drain or load, and after a lease or grant too short for the order.
    pub retry_after: time::Duration,
}

impl Default for ActivationConfig {
    fn default() -> Self {
        Self {
            order_limit: lift_types::DEFAULT_LEASE / 2,
            retry_after: time::Duration::from_secs(1),
        }
    }
}
