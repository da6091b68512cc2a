//! The replicated log as the control role sees it.

use std::fmt;

use tokio::sync::watch;

use crate::{change_error, leadership, log_status, propose_error};

/// A log that a quorum of control members keeps on synced disks.
#[async_trait::async_trait]
pub trait ReplicatedLog: fmt::Debug + Send + Sync {
    /// Commits `command` and returns the state machine's reply, once the command is synced
    /// at a quorum and applied here.
    ///
    /// # Errors
    ///
    /// Only [`propose_error::ProposeError::Unknown`] leaves open whether the command takes
    /// effect.
    async fn propose(
        &self,
        command: bytes::Bytes,
    ) -> Result<bytes::Bytes, error_stack::Report<propose_error::ProposeError>>;

    /// Follows who leads. Receivers are woken when the leader or the term changes. The end
    /// of the lease moves on without waking them, so read it when it is needed.
    fn leadership(&self) -> watch::Receiver<leadership::Leadership>;

    /// Members in force here, and how far the log is.
    fn members(&self) -> log_status::LogStatus;

    /// Makes one change of the members and returns once it is committed. Served by the
    /// leader.
    ///
    /// # Errors
    ///
    /// Only [`change_error::ChangeError::Unknown`] leaves open whether the change takes
    /// effect.
    async fn change_member(
        &self,
        change: lift_consensus::MemberChange,
    ) -> Result<(), error_stack::Report<change_error::ChangeError>>;

    /// Hands the lead to another member where this one has it, and stops. Returns once all
    /// files are closed.
    async fn stop(&self);
}
