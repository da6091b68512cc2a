//! Limits of an activation.

use std::time;

/// Limits of a [`crate::Activation`].
#[derive(Clone, Copy, Debug)]
pub struct ActivationConfig {
    /// Longest time of a load order. A lease and a grant must outlast it.
    pub order_limit: time::Duration,
    /// Pause after the engine has refused or failed.
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
