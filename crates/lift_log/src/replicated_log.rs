//! The replicated log as the control role sees it.

use std::fmt;

use tokio::sync::watch;

use crate::{leadership, propose_error};

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

    /// Follows who leads.
    fn leadership(&self) -> watch::Receiver<leadership::Leadership>;
}
