//! Messages from nodes to control members.

use crate::{newcomer, node_card};

/// Message of a node.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum NodeMessage {
    /// The first message of a subscription.
    Subscribe(node_card::NodeCard),
    /// Asks whether the state is current. It also shows that the connection lives.
    Ask {
        /// Number of the question.
        nonce: u64,
    },
    /// Asks for the document in force.
    Fetch,
    /// Asks to become a control member. It is the only message of its connection.
    Join(newcomer::Newcomer),
    /// What a gateway has observed, and on a new connection what it keeps from others.
    PartSightings(Vec<lift_fleet::PartSighting>),
    /// Asks for the versions and evacuations in force, of which the node has missed some.
    FetchHead,
}
