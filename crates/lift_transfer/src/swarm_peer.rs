//! An agent that exchanges chunks.

use std::net;

/// Where an agent is and how to reach its chunk server.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct SwarmPeer {
    /// Where the agent is.
    pub place: lift_types::Place,
    /// Its incarnation.
    pub incarnation: lift_types::Incarnation,
    /// Address of its chunk server.
    pub chunk_addr: net::SocketAddr,
}
