//! Why a control operation failed.

use std::net;

/// Failure of a control operation. Only [`ControlFault::Unknown`] leaves open whether it
/// takes effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ControlFault {
    /// Another member leads.
    #[error("another control member leads")]
    NotLeader {
        /// Where it takes calls, if it is known.
        leader: Option<net::SocketAddr>,
    },
    /// No quorum is in reach, or the member is starting.
    #[error("this control member is not in touch with a quorum")]
    Unavailable,
    /// The operation may or may not take effect. Sending it again does no harm.
    #[error("it is not known whether the operation takes effect")]
    Unknown,
    /// The document is invalid. It changes nothing.
    #[error(transparent)]
    Invalid(#[from] lift_fleet::DocumentError),
    /// A part of the member can't be started.
    #[error("the control member can't be started: {0}")]
    Start(&'static str),
}
