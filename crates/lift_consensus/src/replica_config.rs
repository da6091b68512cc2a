//! Configuration of a replica.

use crate::{limits, member_set, timing, voting};

/// Configuration with which a replica starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaConfig {
    /// Identifier of this member.
    pub id: lift_types::MemberId,
    /// Initial members of a new cluster. Empty for a member that joins an existing cluster.
    /// Ignored once the log or a snapshot contains a member set.
    pub members: member_set::MemberSet,
    /// Durations of the protocol.
    pub timing: timing::Timing,
    /// Size limits of the protocol.
    pub limits: limits::Limits,
    /// Whether the member may vote from the start.
    pub voting: voting::Voting,
}
