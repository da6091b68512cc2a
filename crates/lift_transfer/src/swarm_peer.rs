//! An agent that exchanges chunks.

use std::net;

/// Location, incarnation and chunk server address of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct SwarmPeer {
    /// Location of the agent.
    #[serde(rename = "place")]
    pub location: lift_types::Location,
    /// Incarnation of the agent.
    pub incarnation: lift_types::Incarnation,
    /// Address of the agent's chunk server.
    pub chunk_addr: net::SocketAddr,
}
