//! A member of control in the administration API.

use std::net;

/// Role and addresses of a control member.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ControlMemberStatus {
    /// Identifier of the member.
    pub id: lift_types::MemberId,
    /// `voter`, or `learner` while it does not count towards the quorum.
    pub role: String,
    /// Address for other members.
    pub peer: net::SocketAddr,
    /// Address for entries.
    pub client: net::SocketAddr,
    /// What the member that answers is: `leader` or `follower`; `None` for the others.
    pub state: Option<String>,
}
