//! Edits of the policy.

/// Applies `edit` without the checks of the real control.
pub(crate) fn apply(policy: &mut lift_types::Policy, edit: &lift_state::ChangeEdit, author: &str) {
    match edit {
        lift_state::ChangeEdit::SetDefaultVersion(version) => {
            policy.default.version = Some(version.clone());
        }
        lift_state::ChangeEdit::SetDefault(default) => policy.default = default.clone(),
        lift_state::ChangeEdit::AddException {
            id,
            scope,
            value,
            reason,
        } => {
            policy.exceptions.retain(|e| e.id != *id);
            policy.exceptions.push(lift_types::PolicyException {
                id: id.clone(),
                scope: scope.clone(),
                value: value.clone(),
                reason: reason.clone(),
                author: String::from(author),
                since: policy.revision,
            });
        }
        lift_state::ChangeEdit::RemoveException { id } => {
            policy.exceptions.retain(|e| e.id != *id);
        }
    }
}
