//! Control operations.

use std::{fmt, time};

use crate::control_fault;

type Result<T> = std::result::Result<T, error_stack::Report<control_fault::ControlFault>>;

/// What operators and backend servers ask of a control member. All operations may be sent
/// again after a lost answer.
#[async_trait::async_trait]
pub trait FleetControl: fmt::Debug + Send + Sync {
    /// Puts a document in force, unless one with the same or a higher version is.
    ///
    /// # Errors
    ///
    /// Returns [`control_fault::ControlFault::Invalid`] for a document that can't be read or
    /// whose parts don't fit together.
    async fn replace(&self, text: bytes::Bytes) -> Result<lift_fleet::FleetReply>;

    /// The text of the document in force, which is the newest one for sure, or `None` before
    /// the first.
    async fn text(&self) -> Result<Option<bytes::Bytes>>;

    /// Names a version of a model's weights, unless the same or a higher one was named.
    async fn name_weights(
        &self,
        model: lift_fleet::ModelName,
        version: lift_fleet::WeightsVersion,
    ) -> Result<lift_fleet::FleetReply>;

    /// Takes in a heartbeat of a backend server. The other nodes hear of changes at once.
    fn announce(&self, announcement: lift_fleet::Announcement) -> Result<()>;

    /// Notes that a backend server is gone. `born` is the start that speaks, where known.
    fn leave(&self, id: &str, born: Option<time::SystemTime>) -> Result<()>;
}
