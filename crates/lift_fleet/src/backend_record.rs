//! Directory entry of a backend server.

use crate::announcement;

/// Newest announcement of a backend server, and whether its heartbeats have stopped.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct BackendRecord {
    /// Its newest announcement.
    pub announcement: announcement::Announcement,
    /// Whether it has sent no heartbeat for so long that it is assumed to be down.
    pub is_silent: bool,
}
