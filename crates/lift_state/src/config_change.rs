//! Change of the configuration.

use crate::change_edit;

/// Configuration change that an operator submits. At most one change is accepted for each
/// expected revision.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ConfigChange {
    /// Id of the change. Submitting the same change again returns the first reply.
    pub id: lift_types::ChangeId,
    /// Revision that the change is based on. The change conflicts if it is not the current one.
    pub expected: lift_types::Revision,
    /// Author of the change.
    pub author: String,
    /// Reason for the change, for the audit log.
    pub reason: String,
    /// Edits, which are applied in order. Either all or none are accepted.
    pub edits: Vec<change_edit::ChangeEdit>,
}
