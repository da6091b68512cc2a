//! A control member as nodes know it.

use std::net;

/// Addresses of a control member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MemberCard {
    /// The member.
    pub id: lift_types::MemberId,
    /// Where it feeds nodes.
    pub feed: net::SocketAddr,
    /// Where it takes the calls of operators and backend servers.
    pub control: net::SocketAddr,
}
