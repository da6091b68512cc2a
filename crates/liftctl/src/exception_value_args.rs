//! Arguments for the value of an exception.

use crate::{cli_error, limit_args};

/// What an exception sets. Exactly one kind of value is given.
#[derive(Debug, clap::Args)]
pub(crate) struct ExceptionValueArgs {
    /// Version that hosts in the scope serve.
    #[arg(long)]
    version: Option<lift_types::VersionId>,

    /// Percentage of replicas of each failure domain that stay in service during a switch.
    #[arg(long, value_parser = clap::value_parser!(u8).range(0..=100))]
    floor: Option<u8>,

    /// Weight of time against origin bytes: time or origin.
    #[arg(long)]
    goal: Option<lift_types::TransferGoal>,

    /// Priority of a workspace or service: background, normal or urgent.
    #[arg(long)]
    priority: Option<lift_types::Priority>,

    /// Method of a service whose class is set.
    #[arg(long, requires = "class")]
    method: Option<lift_types::MethodId>,

    /// Class of the method: idempotent or non_idempotent.
    #[arg(long, requires = "method")]
    class: Option<lift_types::Idempotency>,

    #[command(flatten)]
    limits: limit_args::LimitArgs,
}

impl ExceptionValueArgs {
    /// The value, with its kind as used in names of exceptions. Limits that are not given
    /// are those of the scope's workspace in `policy`.
    pub(crate) fn value(
        &self,
        scope: &lift_types::Scope,
        policy: &lift_types::Policy,
    ) -> Result<(&'static str, lift_types::ExceptionValue), cli_error::CliError> {
        let mut values = Vec::new();
        if let Some(version) = &self.version {
            let value = lift_types::ExceptionValue::Version(version.clone());
            values.push(("version", value));
        }
        if let Some(floor) = self.floor {
            let value = lift_types::ExceptionValue::ActivationFloorPercent(floor);
            values.push(("floor", value));
        }
        if let Some(goal) = self.goal {
            values.push(("goal", lift_types::ExceptionValue::TransferGoal(goal)));
        }
        if let Some(priority) = self.priority {
            values.push(("priority", lift_types::ExceptionValue::Priority(priority)));
        }
        if let (Some(method), Some(class)) = (&self.method, self.class) {
            let value = lift_types::ExceptionValue::Method(method.clone(), class);
            values.push(("method", value));
        }
        if self.limits.is_given() {
            let limits = self.limits.apply(limits_in_force(scope, policy));
            values.push(("limits", lift_types::ExceptionValue::Limits(limits)));
        }
        match values.pop() {
            Some(value) if values.is_empty() => Ok(value),
            _ => Err(cli_error::CliError::Invalid(String::from(
                "give one value: --version, --floor, --goal, --priority, --method with --class, \
                 or limits (--weight, --rate-per-s, --burst, --max-queued)",
            ))),
        }
    }
}

fn limits_in_force<'a>(
    scope: &lift_types::Scope,
    policy: &'a lift_types::Policy,
) -> &'a lift_types::WorkspaceLimits {
    match scope {
        lift_types::Scope::Workspace(name) => policy.limits_of(name),
        _ => &policy.default.limits,
    }
}
