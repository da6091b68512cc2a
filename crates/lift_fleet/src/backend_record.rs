//! A backend server as a node knows it.

use crate::announcement;

/// The newest announcement of a backend server, and whether it still sends any.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct BackendRecord {
    /// What it said last.
    pub announcement: announcement::Announcement,
    /// Whether it has sent no heartbeat for so long that it is taken to be down.
    pub is_silent: bool,
}
