//! Why a routing table is invalid.

/// Inconsistency in a configuration document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    /// A route refers to a service that is not listed.
    #[error("route {route} refers to the unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// The service.
        service: lift_types::ServiceId,
    },
    /// Two routes have the same host name and path prefix.
    #[error("routes {first} and {second} have the same host name and path prefix")]
    DuplicateRoute {
        /// Name of one route.
        first: String,
        /// Name of the other one.
        second: String,
    },
    /// The weights of a route add up to zero.
    #[error("the weights of route {route} add up to 0")]
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// A route has a timeout of zero.
    #[error("route {route} has a timeout of 0")]
    ZeroTimeout {
        /// Name of the route.
        route: String,
    },
    /// A path prefix does not start and end with a slash.
    #[error("the path prefix of route {route} does not start and end with a slash")]
    InvalidPrefix {
        /// Name of the route.
        route: String,
    },
    /// Two workspaces have the same key.
    #[error("workspaces {first} and {second} share a key")]
    SharedKey {
        /// One workspace.
        first: lift_types::WorkspaceId,
        /// The other one.
        second: lift_types::WorkspaceId,
    },
}
