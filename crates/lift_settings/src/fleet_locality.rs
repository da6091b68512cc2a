//! When requests leave their failure domain.

/// Prices of the ways out of a failure domain, as waits. A request is sent that way only if it is
/// expected to save more, the time on the way included.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct FleetLocality {
    /// Price of the way to another failure domain of the region, in milliseconds.
    pub domain_cost_ms: u64,
    /// Price of the way to another region, in milliseconds.
    pub region_cost_ms: u64,
}
