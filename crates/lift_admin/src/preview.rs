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
    let mut next = policy.clone();
    next.revision += 1;
    for (i, edit) in change.edits.iter().enumerate() {
        if let Err(problem) = apply(&mut next, edit, &change.author, versions) {
            let path = format!("edits[{i}]");
            return change_answer::ChangeAnswer::Invalid { path, problem };
        }
    }
    change_answer::ChangeAnswer::Preview { policy: next }
}

fn apply(
    next: &mut lift_types::Policy,
    edit: &lift_state::ChangeEdit,
    author: &str,
    versions: &[lift_types::VersionId],
) -> Result<(), String> {
    match edit {
        lift_state::ChangeEdit::SetDefaultVersion(version) => {
            if !versions.contains(version) {
                return Err(format!("version {version:?} is not published"));
            }
            next.default.version = Some(version.clone());
        }
        lift_state::ChangeEdit::SetDefault(default) => next.default = default.clone(),
        lift_state::ChangeEdit::AddException {
            id,
            scope,
            value,
            reason,
        } => {
            if reason.trim().is_empty() {
                return Err(String::from("the reason is empty"));
            }
            next.exceptions.retain(|e| e.id != *id);
            next.exceptions.push(lift_types::PolicyException {
                id: id.clone(),
                scope: scope.clone(),
                value: value.clone(),
                reason: reason.clone(),
                author: String::from(author),
                since: next.revision,
            });
        }
        lift_state::ChangeEdit::RemoveException { id } => {
            let before = next.exceptions.len();
            next.exceptions.retain(|e| e.id != *id);
            if next.exceptions.len() == before {
                return Err(format!("there is no exception {id:?}"));
            }
        }
    }
    Ok(())
}
