//! `liftctl document`.

use std::{fs, path, time};

use lift_fleet::DocumentCodec as _;

use crate::{cli_error, output};

/// Time limit of a read of the document in force.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Commands on configuration documents of a fleet whose backend servers announce themselves.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum DocumentCommand {
    /// Checks a document before it is sent: errors, entries that can never match, limits that
    /// contradict each other, and what differs from the document in force. Exit codes: 0 nothing
    /// found, 1 findings, 2 invalid or unreadable, 4 control can't be reached.
    Check(CheckArgs),
}

/// What to check.
#[derive(Debug, clap::Args)]
pub(crate) struct CheckArgs {
    /// File with the document.
    file: path::PathBuf,

    /// File with the document in force.
    #[arg(long, conflicts_with = "control")]
    in_force: Option<path::PathBuf>,

    /// Address of a control member, as http://HOST:PORT, from which the document in force is read.
    #[arg(long)]
    control: Option<String>,

    /// Region of the fleet. Give all of them to have the names of allowed regions checked.
    #[arg(long = "region")]
    regions: Vec<String>,
}

impl DocumentCommand {
    /// Runs the command.
    pub(crate) async fn run(&self, output: &output::Output) -> Result<(), cli_error::CliError> {
        match self {
            Self::Check(args) => args.run(output).await,
        }
    }
}

impl CheckArgs {
    async fn run(&self, output: &output::Output) -> Result<(), cli_error::CliError> {
        let table = decode(&self.file.display().to_string(), &read_file(&self.file)?)?;
        let regions = self.regions.iter().cloned().collect();
        let findings = lift_check::check(&table, &regions);
        let in_force = self.in_force().await?;
        let differences = in_force.map(|in_force| lift_check::compare(&in_force, &table));
        print(output, &findings, differences.as_deref())?;
        match findings.len() {
            0 => Ok(()),
            count => Err(cli_error::CliError::Failed(format!("findings: {count}"))),
        }
    }

    /// The document in force, if one is named.
    async fn in_force(&self) -> Result<Option<lift_fleet::RoutingTable>, cli_error::CliError> {
        if let Some(file) = &self.in_force {
            let name = file.display().to_string();
            return decode(&name, &read_file(file)?).map(Some);
        }
        let Some(control) = &self.control else {
            return Ok(None);
        };
        let text = read_control(control).await?;
        decode(control, &text).map(Some)
    }
}

fn read_file(file: &path::Path) -> Result<Vec<u8>, cli_error::CliError> {
    fs::read(file).map_err(|e| cli_error::CliError::Invalid(format!("{}: {e}", file.display())))
}

/// Reads the document in force from a control member, and from the one that leads if it names it.
async fn read_control(control: &str) -> Result<Vec<u8>, cli_error::CliError> {
    let unreachable = |problem: String| {
        cli_error::CliError::Unreachable(format!("{control} does not answer: {problem}"))
    };
    let mut base = String::from(control);
    for _ in 0..2 {
        let client = lift_border::HttpClient::without_pool(&base);
        let req = client.request(http::Method::GET, lift_platform::paths::DOCUMENT);
        let sending = client.send(req, bytes::Bytes::new());
        let sent = tokio::time::timeout(READ_TIMEOUT, sending).await;
        let reply = sent.map_err(|_| unreachable(String::from("time limit reached")))?;
        let reply = reply.map_err(|e| unreachable(e.to_string()))?;
        if reply.status().is_success() {
            return Ok(reply.into_body().to_vec());
        }
        let leader = reply.headers().get(http::header::LOCATION);
        let leader = leader.and_then(|value| value.to_str().ok()?.parse::<http::Uri>().ok());
        let leader = leader.and_then(|uri| uri.authority().map(|a| format!("http://{a}")));
        base = leader.ok_or_else(|| unreachable(format!("status {}", reply.status())))?;
    }
    Err(unreachable(String::from("no member leads")))
}

fn decode(name: &str, text: &[u8]) -> Result<lift_fleet::RoutingTable, cli_error::CliError> {
    let decoded = lift_platform::DocumentFormat.decode(text);
    decoded.map_err(|e| cli_error::CliError::Invalid(format!("{name}: {e}")))
}

fn print(
    output: &output::Output,
    findings: &[lift_check::Finding],
    differences: Option<&[lift_check::Difference]>,
) -> Result<(), cli_error::CliError> {
    let found = findings
        .iter()
        .map(|f| vec![f.kind.to_string(), f.entry.clone(), f.problem.clone()]);
    let differing = differences.unwrap_or_default().iter();
    let differing =
        differing.map(|d| vec![d.change.to_string(), d.entry.clone(), d.detail.clone()]);
    let value = serde_json::json!({ "findings": findings, "differences": differences });
    let rows = found.chain(differing).collect();
    output.table(&["what", "entry", "detail"], rows, &value)
}
