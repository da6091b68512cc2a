//! Status of a control member.

use std::net;

/// Status of a control member from the leader's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Identifier of the member.
    pub id: lift_types::MemberId,
    /// Address for messages of the replicated log.
    pub peer: net::SocketAddr,
    /// Whether it is a voter rather than a learner.
    pub is_voter: bool,
    /// Whether it has answered the leader recently.
    pub is_responsive: bool,
}
