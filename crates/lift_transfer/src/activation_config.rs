//! Limits of an activation.

use std::time;

/// Limits of a [`crate::Activation`].
#[derive(Clone, Copy, Debug)]
pub struct ActivationConfig {
    /// Maximum duration of a load order. The lease and the grant must outlast it.
    pub order_limit: time::Duration,
    /// Pause after a drain that does not lead to a load order, and after a failed load.
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
