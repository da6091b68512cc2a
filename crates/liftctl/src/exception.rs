//! `liftctl exception`.

use crate::{change, change_args, cli_error, client, exception_value_args, output};

/// Commands on exceptions.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum ExceptionCommand {
    /// Adds an exception, or replaces the one with the same name.
    Add(ExceptionAddArgs),
    /// Removes an exception.
    Remove(ExceptionRemoveArgs),
}

impl ExceptionCommand {
    /// Runs the command.
    pub(crate) async fn run(
        self,
        client: &client::Client,
        output: &output::Output,
    ) -> Result<(), cli_error::CliError> {
        match self {
            Self::Add(args) => {
                let edit = |policy: &lift_types::Policy| Ok(vec![args.edit(policy)?]);
                change::send(client, output, &args.change, edit).await
            }
            Self::Remove(args) => {
                let edit = lift_state::ChangeEdit::RemoveException {
                    id: args.name.clone(),
                };
                change::send(client, output, &args.change, |_| Ok(vec![edit])).await
            }
        }
    }
}

/// An exception to add.
#[derive(Debug, clap::Args)]
pub(crate) struct ExceptionAddArgs {
    /// Part of the fleet: region:NAME, failure-domain:NAME, host:NUMBER, workspace:NAME or
    /// service:NAME.
    #[arg(long)]
    scope: lift_types::Scope,

    /// Name of the exception; made of the kind of value and the scope by default.
    #[arg(long)]
    name: Option<String>,

    #[command(flatten)]
    value: exception_value_args::ExceptionValueArgs,

    #[command(flatten)]
    change: change_args::ChangeArgs,
}

impl ExceptionAddArgs {
    fn edit(
        &self,
        policy: &lift_types::Policy,
    ) -> Result<lift_state::ChangeEdit, cli_error::CliError> {
        let (kind, value) = self.value.value(&self.scope, policy)?;
        let kind = match &value {
            lift_types::ExceptionValue::Method(method, _) => format!("{kind}-{method}"),
            _ => String::from(kind),
        };
        let name = self.name.clone();
        Ok(lift_state::ChangeEdit::AddException {
            id: name.unwrap_or_else(|| format!("{kind}@{}", self.scope)),
            scope: self.scope.clone(),
            value,
            reason: self.change.reason.clone(),
        })
    }
}

/// An exception to remove.
#[derive(Debug, clap::Args)]
pub(crate) struct ExceptionRemoveArgs {
    /// Name of the exception, as `liftctl policy show` lists it.
    name: String,

    #[command(flatten)]
    change: change_args::ChangeArgs,
}
