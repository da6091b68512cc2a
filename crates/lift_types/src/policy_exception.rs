//! An exception to the default policy.

use crate::{exception_value, revision, scope};

/// A setting that replaces the default within a scope, with a written reason. Exceptions are
/// few; each one is kept until an operator removes it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct PolicyException {
    /// Name that operators use to remove the exception.
    pub id: String,
    /// Part of the fleet that it applies to.
    pub scope: scope::Scope,
    /// Setting that it replaces, with the new value.
    pub value: exception_value::ExceptionValue,
    /// Why the operator added it. Never empty.
    pub reason: String,
    /// Operator who added it.
    pub author: String,
    /// Revision that added it. Of two exceptions for the same scope, the newer one applies.
    pub since: revision::Revision,
}
