//! Registration of an agent.

/// What an agent says of itself at its start. `start` is a random number by which a
/// registration that is sent again gets the same incarnation.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Registration {
    /// Where the agent is.
    pub place: lift_types::Place,
    /// Random number of this start.
    pub start: u64,
}
