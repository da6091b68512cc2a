//! Reply to a lease renewal.

use std::time;

/// Whether an agent's lease was renewed.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum LeaseReply {
    /// The lease was renewed.
    Renewed {
        /// Duration of the lease, counted from the moment the agent sent the renewal.
        valid_for: time::Duration,
    },
    /// A lease that an earlier incarnation holds, or that an earlier leader may have granted,
    /// has not expired yet.
    Wait {
        /// Time to wait before the next renewal.
        retry_after: time::Duration,
    },
    /// A later incarnation of the host is registered. The requesting agent must stop.
    Superseded {
        /// The later incarnation.
        by: lift_types::Incarnation,
    },
}
