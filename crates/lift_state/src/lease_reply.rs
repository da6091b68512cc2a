//! Answer to a renewal of a lease.

use std::time;

/// Whether an agent's lease was renewed.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum LeaseReply {
    /// The lease holds for this long from when the renewal was sent.
    Renewed {
        /// Time of the lease.
        valid_for: time::Duration,
    },
    /// The lease of an earlier incarnation, or of an earlier leader's grants, has yet to end.
    Wait {
        /// Time after which to ask again.
        retry_after: time::Duration,
    },
    /// A later incarnation of the host is registered. This one must stop.
    Superseded {
        /// The later incarnation.
        by: lift_types::Incarnation,
    },
}
