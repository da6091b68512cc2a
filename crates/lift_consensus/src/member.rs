//! Member of the replicated log.

use std::net;

use crate::member_role;

/// Role and addresses of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Member {
    /// Whether the member counts towards the quorum.
    pub role: member_role::MemberRole,
    /// Address at which the member accepts connections from other members.
    pub peer: net::SocketAddr,
    /// Address at which the member serves control operations.
    pub client: net::SocketAddr,
}
