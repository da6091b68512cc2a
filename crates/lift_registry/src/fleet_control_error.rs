//! Errors of control operations.

use std::net;

/// Why a control operation failed. Except for [`FleetControlError::Unknown`], the operation has
/// not taken effect and will not.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FleetControlError {
    /// This member is not the leader.
    #[error("another control member leads")]
    NotLeader {
        /// Control address of the leader, if known.
        leader: Option<net::SocketAddr>,
    },
    /// The member can't serve the operation now: for instance it can't reach a quorum, is still
    /// starting, or could not decode a command of the log.
    #[error("this control member is not in touch with a quorum")]
    Unavailable,
    /// The operation may or may not take effect. It is safe to send it again.
    #[error("it is not known whether the operation takes effect")]
    Unknown,
    /// The document is invalid and was rejected.
    #[error(transparent)]
    Invalid(#[from] lift_fleet::DocumentError),
    /// The announcement is invalid and was rejected. What is known of the backend server stays.
    #[error(transparent)]
    Announcement(#[from] lift_fleet::AnnouncementError),
    /// The name of the model is empty or too long. No version was set.
    #[error("the name of the model is empty or too long")]
    Model,
    /// The failure domain is not in the settings. Nothing was evacuated or restored.
    #[error("the failure domain {0} is unknown")]
    FailureDomain(lift_types::FailureDomainId),
    /// A part of the member, named here, can't be started, or a setting is missing.
    #[error("the control member can't be started: {0}")]
    Start(&'static str),
}
