//! Changes of the members.

use std::net;

/// One change. Only one is in progress at a time, so that any two consecutive member sets
/// share a voter in every pair of quorums.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum MemberChange {
    /// Adds a member that receives the log without counting towards the quorum.
    AddLearner {
        /// Identifier, above all that were used before.
        id: lift_types::MemberId,
        /// Where the member accepts connections of other members.
        peer: net::SocketAddr,
        /// Where the member serves control operations.
        client: net::SocketAddr,
    },
    /// Makes a learner that has synced all committed entries a voter.
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
