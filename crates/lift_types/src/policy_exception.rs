//! An exception to the default policy.

use crate::{exception_value, revision, scope};

/// An exception with its written reason. Exceptions are few; each one is kept until
/// an operator removes it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct PolicyException {
    /// Name by which operators remove the exception.
    pub id: String,
    /// Part of the fleet that it applies to.
    pub scope: scope::Scope,
    /// What it sets.
    pub value: exception_value::ExceptionValue,
    /// Why it is there. Never empty.
    pub reason: String,
    /// Who added it.
    pub author: String,
    /// Revision that added it. Of two of the same scope the later one wins.
    pub since: revision::Revision,
}
