//! Dry run of a change.

use crate::change_answer;

/// Tells what would become of `change` under `policy`. Nothing is written.
pub(crate) fn preview(
    policy: &lift_types::Policy,
    change: &lift_state::ConfigChange,
    versions: &[lift_types::VersionId],
) -> change_answer::ChangeAnswer {
    if change.expected != policy.revision {
        return change_answer::ChangeAnswer::Conflict {
            current: policy.revision,
            by: String::from("an earlier change"),
        };
    }
    match lift_state::preview(policy, change, versions) {
        Ok(policy) => change_answer::ChangeAnswer::Preview { policy },
        Err(invalid) => change_answer::ChangeAnswer::Invalid {
            path: invalid.path,
            problem: invalid.problem,
        },
    }
}
