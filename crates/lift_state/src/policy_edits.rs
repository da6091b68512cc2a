//! Applies edits to a policy.

use crate::{change_edit, config_change, invalid_value, policy_validation};

/// Maximum length of an author, reason, identifier or name, in bytes. The policy must stay
/// small, since it is sent to every node.
const MAX_TEXT_BYTES: usize = 1_024;

/// Maximum number of edits in one change.
const MAX_EDITS: usize = 64;

/// Applies all edits of `change` to a copy of `policy` and returns it with the next revision.
///
/// # Errors
///
/// Returns an error for the first field that is not valid.
pub(crate) fn apply(
    policy: &lift_types::Policy,
    change: &config_change::ConfigChange,
    versions: &[lift_types::VersionId],
) -> Result<lift_types::Policy, invalid_value::InvalidValue> {
    check_text("id", &change.id)?;
    check_text("author", &change.author)?;
    check_text("reason", &change.reason)?;
    if change.edits.is_empty() || change.edits.len() > MAX_EDITS {
        let problem = format!("{} edits; allowed: 1 to {MAX_EDITS}", change.edits.len());
        return Err(invalid_value::InvalidValue::new("edits", problem));
    }
    let mut next = policy.clone();
    next.revision = policy.revision + 1;
    for (i, edit) in change.edits.iter().enumerate() {
        apply_edit(&mut next, edit, change, versions).map_err(|e| {
            invalid_value::InvalidValue::new(format!("edits[{i}].{}", e.path), e.problem)
        })?;
    }
    policy_validation::check_policy_size(&next)?;
    Ok(next)
}

fn apply_edit(
    next: &mut lift_types::Policy,
    edit: &change_edit::ChangeEdit,
    change: &config_change::ConfigChange,
    versions: &[lift_types::VersionId],
) -> Result<(), invalid_value::InvalidValue> {
    match edit {
        change_edit::ChangeEdit::SetDefaultVersion(version) => {
            policy_validation::check_version("set_default_version", version, versions)?;
            next.default.version = Some(version.clone());
        }
        change_edit::ChangeEdit::SetDefault(default) => {
            policy_validation::check_default(default, versions)?;
            next.default = default.clone();
        }
        change_edit::ChangeEdit::AddException {
            id,
            scope,
            value,
            reason,
        } => {
            check_text("id", id)?;
            check_text("reason", reason)?;
            policy_validation::check_exception(scope, value, versions)?;
            next.exceptions.retain(|e| e.id != *id);
            policy_validation::check_exception_count(next.exceptions.len() + 1)?;
            next.exceptions.push(lift_types::PolicyException {
                id: id.clone(),
                scope: scope.clone(),
                value: value.clone(),
                reason: reason.clone(),
                author: change.author.clone(),
                since: next.revision,
            });
        }
        change_edit::ChangeEdit::RemoveException { id } => {
            let before = next.exceptions.len();
            next.exceptions.retain(|e| e.id != *id);
            if next.exceptions.len() == before {
                let known = next.exceptions.iter().map(|e| e.id.as_str());
                let problem = format!(
                    "exception {id:?} does not exist; allowed: {}",
                    policy_validation::join_names(known)
                );
                return Err(invalid_value::InvalidValue::new("id", problem));
            }
        }
    }
    Ok(())
}

/// Checks that a text is neither blank nor longer than [`MAX_TEXT_BYTES`].
pub(crate) fn check_text(path: &str, text: &str) -> Result<(), invalid_value::InvalidValue> {
    if text.trim().is_empty() {
        return Err(invalid_value::InvalidValue::new(
            path,
            format!("is empty; allowed: 1 to {MAX_TEXT_BYTES} bytes"),
        ));
    }
    if text.len() > MAX_TEXT_BYTES {
        let problem = format!(
            "has {} bytes; allowed: 1 to {MAX_TEXT_BYTES} bytes",
            text.len()
        );
        return Err(invalid_value::InvalidValue::new(path, problem));
    }
    Ok(())
}
