//! Differences between two policies.

/// Edits that make `from` equal to `to`.
pub(crate) fn edits(
    from: &lift_types::Policy,
    to: &lift_types::Policy,
) -> Vec<lift_state::ChangeEdit> {
    let mut edits = Vec::new();
    if from.default != to.default {
        edits.push(lift_state::ChangeEdit::SetDefault(to.default.clone()));
    }
    for e in &from.exceptions {
        if !to.exceptions.iter().any(|other| other.id == e.id) {
            edits.push(lift_state::ChangeEdit::RemoveException { id: e.id.clone() });
        }
    }
    for e in &to.exceptions {
        if !from.exceptions.iter().any(|other| is_same(other, e)) {
            edits.push(lift_state::ChangeEdit::AddException {
                id: e.id.clone(),
                scope: e.scope.clone(),
                value: e.value.clone(),
                reason: e.reason.clone(),
            });
        }
    }
    edits
}

/// One line per difference: `-` for what goes, `+` for what comes, `~` for what changes.
pub(crate) fn lines(from: &lift_types::Policy, to: &lift_types::Policy) -> Vec<String> {
    let mut lines = default_lines(&from.default, &to.default);
    for e in &from.exceptions {
        if !to.exceptions.iter().any(|other| is_same(other, e)) {
            lines.push(format!("- {}", exception_text(e)));
        }
    }
    for e in &to.exceptions {
        if !from.exceptions.iter().any(|other| is_same(other, e)) {
            lines.push(format!("+ {}", exception_text(e)));
        }
    }
    lines
}

/// Value of an exception as text.
pub(crate) fn value_text(value: &lift_types::ExceptionValue) -> String {
    match value {
        lift_types::ExceptionValue::Version(version) => format!("version {version}"),
        lift_types::ExceptionValue::ActivationFloorPercent(percent) => format!("floor {percent} %"),
        lift_types::ExceptionValue::TransferGoal(goal) => format!("goal {goal}"),
        lift_types::ExceptionValue::Priority(priority) => format!("priority {priority}"),
        lift_types::ExceptionValue::Method(method, class) => format!("method {method} is {class}"),
        lift_types::ExceptionValue::Limits(limits) => format!(
            "weight {}, {} requests/s, burst {}, {} queued",
            limits.weight, limits.rate_per_s, limits.burst, limits.max_queued
        ),
    }
}

fn default_lines(from: &lift_types::PolicyDefault, to: &lift_types::PolicyDefault) -> Vec<String> {
    let (from, to) = (to_fields(from), to_fields(to));
    let mut lines = Vec::new();
    for (name, value) in &to {
        let before = from.get(name).unwrap_or(&serde_json::Value::Null);
        if before != value {
            lines.push(format!("~ default.{name}: {before} -> {value}"));
        }
    }
    lines
}

fn to_fields(default: &lift_types::PolicyDefault) -> serde_json::Map<String, serde_json::Value> {
    match serde_json::to_value(default) {
        Ok(serde_json::Value::Object(fields)) => fields,
        _ => serde_json::Map::new(),
    }
}

/// Author and revision of an exception are set by control, so they are not compared.
fn is_same(a: &lift_types::PolicyException, b: &lift_types::PolicyException) -> bool {
    a.id == b.id && a.scope == b.scope && a.value == b.value && a.reason == b.reason
}

fn exception_text(e: &lift_types::PolicyException) -> String {
    format!(
        "{}: {} at {} ({})",
        e.id,
        value_text(&e.value),
        e.scope,
        e.reason
    )
}
