//! Identifier of a configuration change.

/// Id that the operator's program chooses for a change. A change that is sent again with the
/// same id is not applied again and gets the first reply.
pub type ChangeId = String;
