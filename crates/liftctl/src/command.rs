//! Commands of `liftctl`.

use crate::{
    audit, cli_error, client, completions, control, default, document, exception, experiment,
    members, output, policy, rollout, token, version,
};

/// What to do.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum Command {
    /// Changes what holds where no exception applies.
    #[command(subcommand)]
    Default(default::DefaultCommand),
    /// Adds and removes exceptions.
    #[command(subcommand)]
    Exception(exception::ExceptionCommand),
    /// Shows, compares, exports and applies the whole policy.
    #[command(subcommand)]
    Policy(policy::PolicyCommand),
    /// Publishes and lists versions.
    #[command(subcommand)]
    Version(version::VersionCommand),
    /// Shows how far the fleet has followed the policy.
    #[command(subcommand)]
    Rollout(rollout::RolloutCommand),
    /// Lists the agents and what they serve.
    Members,
    /// Takes a host out of service; its requests in progress are finished.
    Drain(members::DrainArgs),
    /// Lists accepted changes: who, when, why.
    Audit(audit::AuditArgs),
    /// Makes bearer tokens of the administration API.
    #[command(subcommand)]
    Token(token::TokenCommand),
    /// Measures bursts, requests and configuration changes on loopback.
    #[command(subcommand)]
    Experiment(experiment::ExperimentCommand),
    /// Lists and changes the members of control.
    #[command(subcommand)]
    Control(control::ControlCommand),
    /// Checks configuration documents.
    #[command(subcommand)]
    Document(document::DocumentCommand),
    /// Prints a completion script.
    Completions(completions::CompletionsArgs),
}

impl Command {
    /// Runs the command.
    pub(crate) async fn run(
        self,
        client: &client::Client,
        output: &output::Output,
    ) -> Result<(), cli_error::CliError> {
        match self {
            Self::Default(command) => command.run(client, output).await,
            Self::Exception(command) => command.run(client, output).await,
            Self::Policy(command) => command.run(client, output).await,
            Self::Version(command) => command.run(client, output).await,
            Self::Rollout(command) => command.run(client, output).await,
            Self::Members => members::list(client, output).await,
            Self::Drain(args) => args.run(client, output).await,
            Self::Audit(args) => args.run(client, output).await,
            Self::Token(command) => command.run(output),
            Self::Experiment(command) => command.run(output).await,
            Self::Control(command) => command.run(client, output).await,
            Self::Document(command) => command.run(output).await,
            Self::Completions(args) => args.run(output),
        }
    }
}
