//! Answer to a newcomer.

use std::net;

/// What a control member answers to a host that wants to become one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum JoinAnswer {
    /// The host is a member under this identifier.
    Joined(lift_types::MemberId),
    /// This member does not lead; the leader, if known, feeds nodes at the address.
    Elsewhere(Option<net::SocketAddr>),
    /// It can't be done now; ask again.
    Later,
}
