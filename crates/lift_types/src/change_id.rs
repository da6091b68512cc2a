//! Identifier of a configuration change.

/// Chosen by the operator's program. A change that is sent again under the same id gets the first answer.
pub type ChangeId = String;
