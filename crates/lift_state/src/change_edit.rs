//! One edit of the policy.

/// Edit of the default or of the exceptions.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeEdit {
    /// Replaces the default version.
    SetDefaultVersion(lift_types::VersionId),
    /// Replaces the whole default.
    SetDefault(lift_types::PolicyDefault),
    /// Adds an exception, or replaces the one with the same id.
    AddException {
        /// Name by which the exception is removed.
        id: String,
        /// Part of the fleet that it applies to.
        scope: lift_types::Scope,
        /// What it sets.
        value: lift_types::ExceptionValue,
        /// Why it is there. An empty reason is refused.
        reason: String,
    },
    /// Removes an exception.
    RemoveException {
        /// Its name.
        id: String,
    },
}
