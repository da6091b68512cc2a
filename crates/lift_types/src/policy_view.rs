//! The policy as one node knows it.

use std::{sync, time};

use crate::policy;

/// A policy and when control last confirmed that it is the current one.
#[derive(Clone, Debug)]
pub struct PolicyView {
    /// The policy in force at this node.
    pub policy: sync::Arc<policy::Policy>,
    /// When the node last learned that this revision was the current one. `None`
    /// until the first confirmation after a start.
    pub confirmed_at: Option<time::Instant>,
}

impl PolicyView {
    /// Time for which a node acts on a policy without a confirmation. It is below the
    /// 3 s in which a change must be in force everywhere.
    pub const CONFIRM_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

    /// Whether the node may take new work under this policy at `now`.
    pub fn is_confirmed(&self, now: time::Instant) -> bool {
        let Some(at) = self.confirmed_at else {
            return false;
        };
        now.saturating_duration_since(at) < Self::CONFIRM_TIMEOUT
    }
}

impl Default for PolicyView {
    fn default() -> Self {
        Self {
            policy: sync::Arc::new(policy::Policy::default()),
            confirmed_at: None,
        }
    }
}
