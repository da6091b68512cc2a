//! A node as others know it.

use std::net;

use crate::node_kind;

/// Where a node is and how to reach it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct NodeCard {
    /// What it does.
    pub kind: node_kind::NodeKind,
    /// Where it is.
    pub location: lift_types::Location,
    /// Service of the backend server beside it, for an agent.
    pub service: Option<lift_types::ServiceId>,
    /// Random number of this start of the process.
    pub incarnation: lift_types::Incarnation,
    /// Where it takes load reports, by UDP.
    pub load_addr: Option<net::SocketAddr>,
    /// Where it hands out pieces of weights.
    pub piece_addr: Option<net::SocketAddr>,
}
