//! Capacity and demand of a region.

/// What the backend servers and gateways of one region stand for when the servers of a service are
/// divided between regions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionCapacity {
    /// The region.
    pub region: lift_types::RegionId,
    /// Slots of its servers that accept requests.
    pub slots: f64,
    /// Number of its gateways. The load balancer gives each about as many callers, so the number
    /// stands for the demand.
    pub gateways: f64,
}
