//! Reply to a configuration change.

/// Result of a configuration change.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeReply {
    /// The change was accepted and is durable.
    Accepted {
        /// Revision that the change created.
        revision: lift_types::Revision,
    },
    /// The expected revision is not the current one, usually because another change was
    /// accepted first. The configuration is unchanged.
    Conflict {
        /// Current revision.
        current: lift_types::Revision,
        /// Author, revision and reason of the change that was accepted for the expected
        /// revision, or of the latest change if that record is not kept.
        by: String,
    },
    /// A value is not valid. The configuration is unchanged.
    Invalid {
        /// Path of the field, for example `edits[0].reason`.
        path: String,
        /// Description of the error, with the allowed values.
        problem: String,
    },
}
