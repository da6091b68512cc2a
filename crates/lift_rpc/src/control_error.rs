//! Why a control operation has no result.

use std::net;

/// Failure of a control operation.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, serde::Serialize, serde::Deserialize)]
pub enum ControlError {
    /// No control member could take the operation. It was not carried out.
    #[error("no control member could take the operation")]
    Unavailable,
    /// It is not known whether the operation was carried out. It may be sent again under the
    /// same ids.
    #[error("it is not known whether the operation was carried out")]
    Unknown,
    /// This member does not lead. The operation was not carried out. The client asks the
    /// leader instead and does not pass this error on.
    #[error("this control member does not lead")]
    NotLeader {
        /// Address at which the leader serves control operations, where it is known.
        leader: Option<net::SocketAddr>,
    },
    /// The other end does not know the message. The operation was not carried out.
    #[error("the other end refused the message: {problem}")]
    UnknownMessage {
        /// What it did not know.
        problem: String,
    },
    /// There is no such thing.
    #[error("there is no {what}")]
    Missing {
        /// What was asked for.
        what: String,
    },
    /// The operation is not valid.
    #[error("{path}: {problem}")]
    Invalid {
        /// Path of the field.
        path: String,
        /// What is wrong and what is allowed.
        problem: String,
    },
}

impl ControlError {
    /// Whether what was asked for does not exist.
    pub fn is_missing(&self) -> bool {
        matches!(self, Self::Missing { .. })
    }

    /// A registration that does not exist. The agent has to register first.
    pub fn unregistered(host: lift_types::HostId) -> Self {
        Self::Missing {
            what: format!("registration of host {host}"),
        }
    }
}
