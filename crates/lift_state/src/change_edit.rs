//! One edit of the policy.

/// Edit of the policy default or of the exceptions.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeEdit {
    /// Replaces the target version of the default.
    SetDefaultVersion(lift_types::VersionId),
    /// Replaces the whole default.
    SetDefault(lift_types::PolicyDefault),
    /// Adds an exception, or replaces the one with the same id.
    AddException {
        /// Id of the exception, by which later edits replace or remove it.
        id: String,
        /// Part of the fleet that it applies to.
        scope: lift_types::Scope,
        /// Setting that the exception overrides, with its value.
        value: lift_types::ExceptionValue,
        /// Reason for the exception. An empty reason is rejected.
        reason: String,
    },
    /// Removes an exception.
    RemoveException {
        /// Id of the exception.
        id: String,
    },
}
