//! Registration of an agent.

/// Registers an agent after each start. Control assigns one incarnation to each `start_id`, so
/// a duplicate of a registration gets the same incarnation.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Registration {
    /// Region, failure domain and host of the agent.
    pub location: lift_types::Location,
    /// Random number that identifies this start of the agent.
    pub start_id: u64,
}
