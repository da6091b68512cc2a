//! Record of an accepted change.

use std::time;

use crate::change_edit;

/// Who changed what, when and why.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AuditRecord {
    /// Revision of the change.
    pub revision: lift_types::Revision,
    /// Identifier of the change.
    pub id: lift_types::ChangeId,
    /// Who asked.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When the leader proposed it, by its clock.
    pub at: time::SystemTime,
    /// What was changed.
    pub edits: Vec<change_edit::ChangeEdit>,
}
