//! Head of a caller's request.

use std::time;

/// What a gateway needs of the head of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Identifier of this attempt of the caller.
    pub id: String,
    /// Time for which the caller waits.
    pub patience: Option<time::Duration>,
    /// Key of the caller's workspace.
    pub key: Option<lift_fleet::ApiKey>,
    /// Model that is asked for.
    pub model: Option<lift_fleet::ModelName>,
    /// Last event of a stream that the caller already has.
    pub last_event: Option<u64>,
}
