//! Validation of policy values.

use crate::{invalid_value, policy_edits};

/// Maximum number of exceptions. Every node receives the whole list, so it must stay short.
const MAX_EXCEPTIONS: usize = 512;

/// Maximum number of services, and of methods in one service.
const MAX_SERVICES: usize = 256;

/// Maximum size of a policy, in bytes of text plus [`ITEM_OVERHEAD_BYTES`] for each item. Every
/// node holds the policy in memory, and it must fit into one message.
const MAX_POLICY_BYTES: usize = 256 * 1024;

/// Size that is added for each exception, service and method besides its text, in bytes.
const ITEM_OVERHEAD_BYTES: usize = 32;

/// Maximum number of names that an error message lists.
const MAX_LISTED_NAMES: usize = 8;

type CheckResult = Result<(), invalid_value::InvalidValue>;

/// Checks that a version is published. Agents can't fetch a version without a manifest.
pub(crate) fn check_version(
    path: &str,
    version: &str,
    versions: &[lift_types::VersionId],
) -> CheckResult {
    if versions.iter().any(|known| known == version) {
        return Ok(());
    }
    let newest_first = versions.iter().rev().map(String::as_str);
    let problem = format!(
        "version {version:?} is not published; allowed: {}",
        join_names(newest_first)
    );
    Err(invalid_value::InvalidValue::new(path, problem))
}

/// Checks all values of a policy default.
pub(crate) fn check_default(
    default: &lift_types::PolicyDefault,
    versions: &[lift_types::VersionId],
) -> CheckResult {
    if let Some(version) = &default.version {
        check_version("version", version, versions)?;
    }
    check_percent("activation_floor_percent", default.activation_floor_percent)?;
    check_limits("limits", &default.limits)?;
    check_size("services", default.services.len(), 0, MAX_SERVICES)?;
    for (name, service) in &default.services {
        let path = format!("services.{name}");
        policy_edits::check_text(&path, name)?;
        let path = format!("{path}.methods");
        check_size(&path, service.methods.len(), 0, MAX_SERVICES)?;
        for method in service.methods.keys() {
            policy_edits::check_text(&path, method)?;
        }
    }
    Ok(())
}

/// Checks that the value of an exception is valid and that this kind of value has an effect in
/// its scope.
pub(crate) fn check_exception(
    scope: &lift_types::Scope,
    value: &lift_types::ExceptionValue,
    versions: &[lift_types::VersionId],
) -> CheckResult {
    let name = scope.to_string();
    policy_edits::check_text("scope", name.split_once(':').map_or("", |(_, name)| name))?;
    match value {
        lift_types::ExceptionValue::Version(version) => {
            check_scope(scope, &["region", "failure-domain", "host"])?;
            check_version("value.version", version, versions)
        }
        lift_types::ExceptionValue::ActivationFloorPercent(percent) => {
            check_scope(scope, &["region", "failure-domain"])?;
            check_percent("value.activation_floor_percent", *percent)
        }
        lift_types::ExceptionValue::TransferGoal(_) => {
            check_scope(scope, &["region", "failure-domain", "host"])
        }
        lift_types::ExceptionValue::Limits(limits) => {
            check_scope(scope, &["workspace"])?;
            check_limits("value.limits", limits)
        }
        lift_types::ExceptionValue::Priority(_) => check_scope(scope, &["workspace", "service"]),
        lift_types::ExceptionValue::Method(method, _) => {
            check_scope(scope, &["service"])?;
            policy_edits::check_text("value.method", method)
        }
    }
}

/// Checks the number of exceptions against [`MAX_EXCEPTIONS`].
pub(crate) fn check_exception_count(exceptions: usize) -> CheckResult {
    check_size("id", exceptions, 0, MAX_EXCEPTIONS)
}

/// Checks the size of a policy against [`MAX_POLICY_BYTES`].
pub(crate) fn check_policy_size(policy: &lift_types::Policy) -> CheckResult {
    let exceptions = policy.exceptions.iter().map(|e| {
        let text = e.id.len() + e.reason.len() + e.author.len() + e.scope.to_string().len();
        let value = match &e.value {
            lift_types::ExceptionValue::Version(text)
            | lift_types::ExceptionValue::Method(text, _) => text.len(),
            _ => 0,
        };
        text + value + ITEM_OVERHEAD_BYTES
    });
    let services = policy.default.services.iter().map(|(name, service)| {
        let methods = service
            .methods
            .keys()
            .map(|method| method.len() + ITEM_OVERHEAD_BYTES);
        name.len() + ITEM_OVERHEAD_BYTES + methods.sum::<usize>()
    });
    let bytes = exceptions.sum::<usize>() + services.sum::<usize>();
    if bytes <= MAX_POLICY_BYTES {
        return Ok(());
    }
    let problem =
        format!("the policy would have {bytes} bytes; allowed: at most {MAX_POLICY_BYTES}");
    Err(invalid_value::InvalidValue::new("edits", problem))
}

/// Joins the first [`MAX_LISTED_NAMES`] names. Returns "none yet" if there are none.
pub(crate) fn join_names<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let names: Vec<&str> = names.take(MAX_LISTED_NAMES).collect();
    if names.is_empty() {
        return String::from("none yet");
    }
    names.join(", ")
}

fn check_scope(scope: &lift_types::Scope, allowed: &[&str]) -> CheckResult {
    let text = scope.to_string();
    let kind = text.split_once(':').map_or("", |(kind, _)| kind);
    if allowed.contains(&kind) {
        return Ok(());
    }
    let problem = format!(
        "this value can't be set for a {kind}; allowed: {}",
        allowed.join(", ")
    );
    Err(invalid_value::InvalidValue::new("scope", problem))
}

fn check_percent(path: &str, percent: u8) -> CheckResult {
    if percent <= 100 {
        return Ok(());
    }
    let problem = format!("{percent} is not a percentage; allowed: 0 to 100");
    Err(invalid_value::InvalidValue::new(path, problem))
}

fn check_limits(path: &str, limits: &lift_types::WorkspaceLimits) -> CheckResult {
    let fields = [
        ("weight", limits.weight),
        ("rate_per_s", limits.rate_per_s),
        ("burst", limits.burst),
    ];
    for (field, value) in fields {
        if value == 0 {
            let problem = format!("is 0; allowed: 1 to {}", u32::MAX);
            return Err(invalid_value::InvalidValue::new(
                format!("{path}.{field}"),
                problem,
            ));
        }
    }
    Ok(())
}

fn check_size(path: &str, size: usize, min: usize, max: usize) -> CheckResult {
    if (min..=max).contains(&size) {
        return Ok(());
    }
    let problem = format!("{size} entries; allowed: {min} to {max}");
    Err(invalid_value::InvalidValue::new(path, problem))
}
