//! What the administration API asks of the entry that it runs on.

use std::fmt;

use crate::{fleet_error, fleet_member};

/// The fleet as one entry sees it: the agents of its region and what they serve.
#[async_trait::async_trait]
pub trait FleetView: fmt::Debug + Send + Sync {
    /// Agents that this entry knows, in any order.
    fn members(&self) -> Vec<fleet_member::FleetMember>;

    /// Takes a host out of service: it gets no new work and ends the requests in progress.
    ///
    /// # Errors
    ///
    /// Returns an error where this entry does not know the host or can't reach it.
    async fn drain(
        &self,
        host: lift_types::HostId,
    ) -> Result<(), error_stack::Report<fleet_error::FleetError>>;
}
