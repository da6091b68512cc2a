//! Answer to a configuration change.

/// What became of a configuration change.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeReply {
    /// The change is durable under this revision.
    Accepted {
        /// Its revision.
        revision: lift_types::Revision,
    },
    /// Another change came first. Nothing was written.
    Conflict {
        /// Revision in force.
        current: lift_types::Revision,
        /// Who made the change that came first, and why.
        by: String,
    },
    /// A value is not valid. Nothing was written.
    Invalid {
        /// Path of the field, for example `edits[0].reason`.
        path: String,
        /// What is wrong and what is allowed.
        problem: String,
    },
}
