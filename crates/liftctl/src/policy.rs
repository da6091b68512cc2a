//! `liftctl policy`.

use std::{fs, path};

use crate::{change, change_args, cli_error, client, output, policy_diff};

/// Commands on the whole policy.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum PolicyCommand {
    /// Shows the default and the exceptions.
    Show,
    /// Shows what `apply` of a file would change.
    Diff(PolicyFile),
    /// Writes the policy as JSON to a file, or to standard output.
    Export(PolicyExportArgs),
    /// Makes the policy equal to a file. The file's revision must be the one in force.
    Apply(PolicyApplyArgs),
}

/// A policy file, as `export` writes it.
#[derive(Debug, clap::Args)]
pub(crate) struct PolicyFile {
    file: path::PathBuf,
}

/// Where to write the policy.
#[derive(Debug, clap::Args)]
pub(crate) struct PolicyExportArgs {
    file: Option<path::PathBuf>,
}

/// A policy file to apply.
#[derive(Debug, clap::Args)]
pub(crate) struct PolicyApplyArgs {
    #[command(flatten)]
    policy: PolicyFile,

    #[command(flatten)]
    change: change_args::ChangeArgs,
}

impl PolicyCommand {
    /// Runs the command.
    pub(crate) async fn run(
        self,
        client: &client::Client,
        output: &output::Output,
    ) -> Result<(), cli_error::CliError> {
        match self {
            Self::Show => show(client, output).await,
            Self::Diff(file) => diff(client, output, &file).await,
            Self::Export(args) => export(client, output, args.file.as_deref()).await,
            Self::Apply(args) => apply(client, output, args).await,
        }
    }
}

async fn show(client: &client::Client, output: &output::Output) -> Result<(), cli_error::CliError> {
    let policy: lift_types::Policy = client.get("/v1/policy").await?;
    let version = policy.default.version.as_deref().unwrap_or("none");
    let mut rows = vec![vec![
        String::from("(default)"),
        String::from("fleet"),
        format!(
            "version {version}, floor {} %, goal {}",
            policy.default.activation_floor_percent, policy.default.transfer_goal
        ),
        String::new(),
        format!("revision {}", policy.revision),
    ]];
    for e in &policy.exceptions {
        rows.push(vec![
            e.id.clone(),
            e.scope.to_string(),
            policy_diff::value_text(&e.value),
            e.reason.clone(),
            format!("{} at revision {}", e.author, e.since),
        ]);
    }
    for (name, service) in &policy.default.services {
        let methods = service.methods.iter();
        let methods: Vec<_> = methods.map(|(m, class)| format!("{m} {class}")).collect();
        let text = format!("{} service: {}", service.kind, methods.join(", "));
        let name = format!("service:{name}");
        rows.push(vec![
            String::from("(default)"),
            name,
            text,
            String::new(),
            String::new(),
        ]);
    }
    let head = ["name", "scope", "value", "reason", "since"];
    output.table(&head, rows, &policy)
}

async fn diff(
    client: &client::Client,
    output: &output::Output,
    file: &PolicyFile,
) -> Result<(), cli_error::CliError> {
    let wanted = read(&file.file)?;
    let policy: lift_types::Policy = client.get("/v1/policy").await?;
    let lines = policy_diff::lines(&policy, &wanted);
    let text = if lines.is_empty() {
        String::from("no difference")
    } else {
        lines.join("\n")
    };
    output.done(
        &text,
        &serde_json::json!({"revision": policy.revision, "diff": lines}),
    )
}

async fn export(
    client: &client::Client,
    output: &output::Output,
    file: Option<&path::Path>,
) -> Result<(), cli_error::CliError> {
    let policy: lift_types::Policy = client.get("/v1/policy").await?;
    let text = serde_json::to_string_pretty(&policy)
        .map_err(|e| cli_error::CliError::Failed(e.to_string()))?;
    let Some(file) = file else {
        return output.done(&text, &policy);
    };
    fs::write(file, text + "\n")
        .map_err(|e| cli_error::CliError::Failed(format!("{}: {e}", file.display())))?;
    let text = format!("wrote revision {} to {}", policy.revision, file.display());
    output.done(&text, &policy)
}

async fn apply(
    client: &client::Client,
    output: &output::Output,
    mut args: PolicyApplyArgs,
) -> Result<(), cli_error::CliError> {
    let wanted = read(&args.policy.file)?;
    // The file tells on which revision its author built; a later change must not be undone.
    args.change.expect = args.change.expect.or(Some(wanted.revision));
    change::send(client, output, &args.change, |policy| {
        Ok(policy_diff::edits(policy, &wanted))
    })
    .await
}

fn read(file: &path::Path) -> Result<lift_types::Policy, cli_error::CliError> {
    let wrong = |e: String| cli_error::CliError::Invalid(format!("{}: {e}", file.display()));
    let buf = fs::read(file).map_err(|e| wrong(e.to_string()))?;
    serde_json::from_slice(&buf).map_err(|e| wrong(e.to_string()))
}
