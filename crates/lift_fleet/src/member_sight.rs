//! What the leader sees of a control member.

use std::net;

/// A control member, as the leader sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberSight {
    /// The member.
    pub id: lift_types::MemberId,
    /// Address of its log.
    pub peer: net::SocketAddr,
    /// Whether it votes.
    pub is_voter: bool,
    /// Whether it has answered lately.
    pub is_answering: bool,
}
