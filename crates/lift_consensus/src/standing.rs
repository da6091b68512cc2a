//! Position of a replica among the members.

use std::time;

/// Whether a replica leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It leads and has applied all commands of earlier terms.
    Leader {
        /// Term in which it leads.
        term: lift_types::Term,
        /// When it had applied all commands of earlier terms.
        since: time::Instant,
        /// End of the lease: no other member can become leader before.
        lease_until: time::Instant,
    },
    /// It follows.
    Follower {
        /// The leader, where known.
        leader: Option<lift_types::MemberId>,
    },
}
