//! `liftctl default`.

use crate::{change, change_args, cli_error, client, limit_args, output};

/// Commands on the default.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum DefaultCommand {
    /// Changes the default for the whole fleet.
    Set(DefaultSetArgs),
}

impl DefaultCommand {
    /// Runs the command.
    pub(crate) async fn run(
        self,
        client: &client::Client,
        output: &output::Output,
    ) -> Result<(), cli_error::CliError> {
        let Self::Set(args) = self;
        if !args.values.is_given() {
            return Err(cli_error::CliError::Invalid(String::from(
                "give a value to set; `liftctl default set --help` lists them",
            )));
        }
        change::send(client, output, &args.change, |policy| {
            Ok(args.values.edits(policy))
        })
        .await
    }
}

/// Values of the default to replace; the others stay.
#[derive(Debug, clap::Args)]
pub(crate) struct DefaultSetArgs {
    #[command(flatten)]
    values: DefaultValues,

    #[command(flatten)]
    change: change_args::ChangeArgs,
}

#[derive(Debug, clap::Args)]
struct DefaultValues {
    /// Version that all model replicas serve.
    #[arg(long)]
    version: Option<lift_types::VersionId>,

    /// Percentage of replicas of each failure domain that stay in service during a switch.
    #[arg(long, value_parser = clap::value_parser!(u8).range(0..=100))]
    floor: Option<u8>,

    /// Weight of time against origin bytes: time or origin.
    #[arg(long)]
    goal: Option<lift_types::TransferGoal>,

    /// Makes a service known: NAME=model or NAME=plain.
    #[arg(long = "service", value_name = "NAME=KIND", value_parser = parse_service)]
    services: Vec<(lift_types::ServiceId, lift_types::ServiceKind)>,

    /// Sets the class of a method: SERVICE/METHOD=idempotent or =non_idempotent.
    #[arg(long = "method", value_name = "SERVICE/METHOD=CLASS", value_parser = parse_method)]
    methods: Vec<(String, String, lift_types::Idempotency)>,

    #[command(flatten)]
    limits: limit_args::LimitArgs,
}

impl DefaultValues {
    fn is_given(&self) -> bool {
        let lists = !self.services.is_empty() || !self.methods.is_empty();
        let values = self.version.is_some() || self.floor.is_some() || self.goal.is_some();
        lists || values || self.limits.is_given()
    }

    /// A change of the version alone keeps concurrent changes of other values apart.
    fn edits(&self, policy: &lift_types::Policy) -> Vec<lift_state::ChangeEdit> {
        let mut default = policy.default.clone();
        default.version = self.version.clone().or(default.version);
        default.activation_floor_percent = self.floor.unwrap_or(default.activation_floor_percent);
        default.transfer_goal = self.goal.unwrap_or(default.transfer_goal);
        default.limits = self.limits.apply(&default.limits);
        for (name, kind) in &self.services {
            default.services.entry(name.clone()).or_default().kind = *kind;
        }
        for (service, method, class) in &self.methods {
            let service = default.services.entry(service.clone()).or_default();
            service.methods.insert(method.clone(), *class);
        }
        if default == policy.default {
            return Vec::new();
        }
        let with_version = lift_types::PolicyDefault {
            version: default.version.clone(),
            ..policy.default.clone()
        };
        match &self.version {
            Some(version) if with_version == default => {
                vec![lift_state::ChangeEdit::SetDefaultVersion(version.clone())]
            }
            _ => vec![lift_state::ChangeEdit::SetDefault(default)],
        }
    }
}

fn parse_service(text: &str) -> Result<(String, lift_types::ServiceKind), String> {
    let wrong = || String::from("write NAME=model or NAME=plain");
    let (name, kind) = text.split_once('=').ok_or_else(wrong)?;
    let kind = kind.parse().map_err(|_| wrong())?;
    Ok((String::from(name), kind))
}

fn parse_method(text: &str) -> Result<(String, String, lift_types::Idempotency), String> {
    let wrong = || String::from("write SERVICE/METHOD=idempotent or SERVICE/METHOD=non_idempotent");
    let (name, class) = text.rsplit_once('=').ok_or_else(wrong)?;
    let (service, method) = name.split_once('/').ok_or_else(wrong)?;
    let class = class.parse().map_err(|_| wrong())?;
    Ok((String::from(service), String::from(method), class))
}
