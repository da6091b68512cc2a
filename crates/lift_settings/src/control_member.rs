//! A member of control.

use std::net;

/// Identifier and addresses of a control member.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct ControlMember {
    /// Identifier of the member. A host whose disk was lost comes back under a new one.
    pub id: lift_types::MemberId,
    /// Address at which other members reach it.
    pub peer_addr: net::SocketAddr,
    /// Address at which entries reach it.
    pub client_addr: net::SocketAddr,
}
