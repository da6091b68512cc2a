//! Operations that a control member offers.

use std::{fmt, time};

use crate::fleet_control_error;

type Result<T> =
    std::result::Result<T, error_stack::Report<fleet_control_error::FleetControlError>>;

/// Operations for operators and backend servers. It is safe to repeat any of them
/// when the reply was lost.
#[async_trait::async_trait]
pub trait FleetControl: fmt::Debug + Send + Sync {
    /// Puts a document in force, unless the one in force has the same or a higher version.
    ///
    /// # Errors
    ///
    /// Returns [`fleet_control_error::FleetControlError::Invalid`] for a document that can't be
    /// decoded or is inconsistent.
    async fn replace(&self, text: bytes::Bytes) -> Result<lift_fleet::FleetReply>;

    /// Returns the text of the document in force, or `None` before the first one. It is
    /// up to date: the read is confirmed under the leader's lease.
    async fn text(&self) -> Result<Option<bytes::Bytes>>;

    /// Sets the target version of a model's weights, unless it is already the same or higher.
    async fn set_target_version(
        &self,
        model: lift_fleet::ModelName,
        version: lift_fleet::WeightsVersion,
    ) -> Result<lift_fleet::FleetReply>;

    /// Asks that backend servers in `failure_domain` get no more requests.
    ///
    /// # Errors
    ///
    /// Returns [`fleet_control_error::FleetControlError::FailureDomain`] for one that the settings
    /// don't list.
    async fn evacuate(
        &self,
        failure_domain: lift_types::FailureDomainId,
    ) -> Result<lift_fleet::FleetReply>;

    /// Withdraws an evacuation.
    ///
    /// # Errors
    ///
    /// As for [`Self::evacuate`], except that a failure domain that is evacuated need not be in
    /// the settings any more.
    async fn restore(
        &self,
        failure_domain: lift_types::FailureDomainId,
    ) -> Result<lift_fleet::FleetReply>;

    /// Applies a heartbeat of a backend server. Changes are pushed to the other nodes at once;
    /// heartbeats without a change are relayed to the other members in batches.
    fn announce(&self, announcement: lift_fleet::Announcement) -> Result<()>;

    /// Marks a backend server as gone. If `started_at` is given, this applies only to the process
    /// that was started at that time.
    fn deregister(&self, id: &str, started_at: Option<time::SystemTime>) -> Result<()>;
}
