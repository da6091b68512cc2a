//! Change of the member set.

use std::net;

/// Change of a single member. Only one change is in progress at a time, so any quorum of a
/// member set shares a voter with any quorum of the next set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum MemberChange {
    /// Adds a member that receives the log but does not count towards the quorum.
    AddLearner {
        /// Identifier of the new member. It must be higher than all identifiers used before.
        id: lift_types::MemberId,
        /// Address at which the member accepts connections from other members.
        peer: net::SocketAddr,
        /// Address at which the member serves control operations.
        client: net::SocketAddr,
    },
    /// Turns a learner that has synced all committed entries into a voter.
    Promote {
        /// Identifier of the learner.
        id: lift_types::MemberId,
    },
    /// Removes a member.
    Remove {
        /// Identifier of the member.
        id: lift_types::MemberId,
    },
}
