//! State of the gate.

/// Whether new requests are admitted, and to which kind of backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum GateState {
    /// New requests are refused with this reason.
    Closed(lift_types::RefusalReason),
    /// Requests go to a plain service.
    Plain,
    /// Requests go to an engine that serves this version.
    Serving(lift_types::ServingVersion),
}
