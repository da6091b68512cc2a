//! Answer to a request to change the policy.

/// What became of a change. HTTP status: 200, 409 for a conflict, 422 for an invalid value.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum ChangeAnswer {
    /// The change is durable under this revision.
    Accepted {
        /// Its revision.
        revision: lift_types::Revision,
    },
    /// The change is valid; nothing was written.
    Preview {
        /// Policy that it would give.
        policy: lift_types::Policy,
    },
    /// Another change was accepted first. Nothing was written.
    Conflict {
        /// Revision in force.
        current: lift_types::Revision,
        /// Who made the change that came first, and why.
        by: String,
    },
    /// A value is not valid. Nothing was written.
    Invalid {
        /// Path of the field.
        path: String,
        /// What is wrong and what is allowed.
        problem: String,
    },
}

impl From<lift_state::ChangeReply> for ChangeAnswer {
    fn from(reply: lift_state::ChangeReply) -> Self {
        match reply {
            lift_state::ChangeReply::Accepted { revision } => Self::Accepted { revision },
            lift_state::ChangeReply::Conflict { current, by } => Self::Conflict { current, by },
            lift_state::ChangeReply::Invalid { path, problem } => Self::Invalid { path, problem },
        }
    }
}
