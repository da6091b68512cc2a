//! An observation on its way between gateways.

use std::time;

use crate::part_observation;

/// An observation with its age. The age travels in place of a time, since the clocks of hosts are
/// not compared.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PartSighting {
    /// Random number that tells copies apart: the same sighting comes from every control member.
    pub id: u64,
    /// Time since it was seen.
    pub age: time::Duration,
    /// What was seen.
    pub observation: part_observation::PartObservation,
}
