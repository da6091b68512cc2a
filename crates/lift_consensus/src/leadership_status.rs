//! Leadership as reported by a replica.

use std::time;

/// Whether a replica is the leader, and otherwise which member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipStatus {
    /// The replica is the leader, has applied all commands of earlier terms and is not
    /// transferring leadership.
    Leader {
        /// Term of the leadership.
        term: lift_types::Term,
        /// Time at which all commands of earlier terms were applied.
        since: time::Instant,
        /// End of the lease. No other member can become leader before this time, unless this
        /// replica transfers leadership.
        lease_until: time::Instant,
    },
    /// The replica is a follower, a candidate or a leader that does not fulfill the conditions
    /// of `Leader`.
    Follower {
        /// Another member that is the leader, if known.
        leader: Option<lift_types::MemberId>,
    },
}
