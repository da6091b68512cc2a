//! Share of a service in a route.

/// A service and its weight among the services of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// The service.
    pub service: lift_types::ServiceId,
    /// Its weight. Requests are distributed in proportion to the weights.
    pub weight: u32,
}
