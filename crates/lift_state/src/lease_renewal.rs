//! Request to renew the lease of an agent.

/// Renews the lease of an agent, or requests its first one. An agent without a valid lease
/// sends no orders to its engine.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeaseRenewal {
    /// Region, failure domain and host of the agent.
    pub location: lift_types::Location,
    /// Incarnation of the agent.
    pub incarnation: lift_types::Incarnation,
    /// Version that the host serves, if any.
    pub serving: Option<lift_types::ServingVersion>,
}
