//! Kind of a node.

use std::time;

/// What a node does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub enum NodeKind {
    /// A control member.
    Control,
    /// Takes the requests of callers.
    Gateway,
    /// Stands beside a backend server.
    Agent,
}

impl NodeKind {
    /// Whether nodes of this kind receive the records of backend servers. An agent needs only the
    /// server on its own host, and its link also carries requests.
    pub(crate) fn follows_backends(self) -> bool {
        self != Self::Agent
    }

    /// Whether nodes of this kind receive the sightings of gateways, which alone choose where
    /// requests go.
    pub(crate) fn follows_sightings(self) -> bool {
        self == Self::Gateway
    }

    /// Shortest time between two documents that a node of this kind fetches. Agents take little
    /// from a document, and their links also carry requests.
    pub(crate) fn fetch_interval(self) -> time::Duration {
        match self {
            Self::Agent => time::Duration::from_secs(1),
            Self::Control | Self::Gateway => time::Duration::ZERO,
        }
    }
}
