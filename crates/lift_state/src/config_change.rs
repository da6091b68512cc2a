//! A change of the configuration.

use crate::change_edit;

/// What an operator asks for. Of two changes with the same expected revision exactly one
/// is accepted.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ConfigChange {
    /// Identifier of the change. A change that is sent again gets the first answer.
    pub id: lift_types::ChangeId,
    /// Revision that the operator has seen.
    pub expected: lift_types::Revision,
    /// Who asks.
    pub author: String,
    /// Why, for the audit log.
    pub reason: String,
    /// Edits, all or none of which are accepted.
    pub edits: Vec<change_edit::ChangeEdit>,
}
