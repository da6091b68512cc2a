//! Where agents learn whom to exchange chunks with.

use std::fmt;

use crate::control_error;

/// Answers agents' requests for their view of the swarm. Entries implement it from their
/// directory of agents; the TCP client and server carry it beside [`crate::ControlPort`].
#[async_trait::async_trait]
pub trait SwarmPort: fmt::Debug + Send + Sync {
    /// Neighbours and home groups of an agent for a version.
    ///
    /// # Errors
    ///
    /// Returns an error where no entry could be asked.
    async fn view(
        &self,
        req: lift_transfer::SwarmViewRequest,
    ) -> Result<lift_transfer::SwarmView, error_stack::Report<control_error::ControlError>>;
}
