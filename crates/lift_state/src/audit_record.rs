//! Audit record of an accepted configuration change.

use std::time;

use crate::change_edit;

/// Entry of the audit log: the author, time, reason and edits of an accepted change.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AuditRecord {
    /// Revision that the change created.
    pub revision: lift_types::Revision,
    /// Identifier of the change.
    pub id: lift_types::ChangeId,
    /// Author of the change.
    pub author: String,
    /// Reason that the author gave.
    pub reason: String,
    /// Time of the proposal, by the wall clock of the leader.
    pub at: time::SystemTime,
    /// Edits of the change, in the order of application.
    pub edits: Vec<change_edit::ChangeEdit>,
}
