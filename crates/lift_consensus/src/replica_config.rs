//! Settings of a replica.

use crate::{limits, member_set, timing, voting};

/// Settings that a replica starts with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaConfig {
    /// Own identifier.
    pub id: lift_types::MemberId,
    /// Members of a new cluster. Empty for a member that joins an existing one. Not used
    /// once the log holds a member set.
    pub members: member_set::MemberSet,
    /// Durations of the protocol.
    pub timing: timing::Timing,
    /// Sizes of the protocol.
    pub limits: limits::Limits,
    /// Whether the member may take part from the start.
    pub voting: voting::Voting,
}
