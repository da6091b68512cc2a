//! Body of a request to change the policy.

use crate::change_mode;

/// A change and whether to carry it out.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeBody {
    /// Identifier of the change. The client makes it and repeats it after a lost answer.
    pub id: lift_types::ChangeId,
    /// Revision that the operator has seen.
    pub expected: lift_types::Revision,
    /// Who asks. With tokens the name of the token is added.
    pub author: String,
    /// Why, for the audit log.
    pub reason: String,
    /// Edits, all or none of which are accepted.
    pub edits: Vec<lift_state::ChangeEdit>,
    /// Whether to carry it out.
    #[serde(default)]
    pub mode: change_mode::ChangeMode,
}
