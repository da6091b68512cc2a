//! Renewal of an agent's lease.

/// Asks for more time for an agent. Without a live lease an agent sends its engine no
/// order.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeaseRenewal {
    /// Where the agent is.
    pub place: lift_types::Place,
    /// Its incarnation.
    pub incarnation: lift_types::Incarnation,
    /// Version that it serves.
    pub serving: Option<lift_types::ServingVersion>,
}
