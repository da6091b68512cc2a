//! Policy at one node and its last confirmation.

use std::{sync, time};

use crate::policy;

/// The policy that a node uses and when control last confirmed that it is current.
#[derive(Clone, Debug)]
pub struct PolicyView {
    /// The policy in force at this node.
    pub policy: sync::Arc<policy::Policy>,
    /// Latest time at which this revision is known to have been current. The confirmation may
    /// arrive later. `None` until the first confirmation after a start.
    pub confirmed_at: Option<time::Instant>,
}

impl PolicyView {
    /// Time after [`PolicyView::confirmed_at`] during which a node may accept new work under the
    /// policy. It is below the 3 s within which a change must be in force everywhere.
    pub const CONFIRM_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

    /// Returns whether the node may accept new work under this policy at `now`.
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
