//! `liftctl rollout`.

use std::time;

use crate::{cli_error, client, fleet, output, progress};

/// Time between two looks at the fleet.
const POLL_PERIOD: time::Duration = time::Duration::from_millis(500);

/// Most lagging hosts that a table names per region.
const NAMED_HOSTS: usize = 5;

/// Commands on the rollout.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum RolloutCommand {
    /// Shows per region who follows the default, who is held by which exception, who lags.
    Status(RolloutStatusArgs),
}

/// Whether to wait.
#[derive(Debug, clap::Args)]
pub(crate) struct RolloutStatusArgs {
    /// Waits until every replica serves the version that the policy asks for.
    #[arg(long)]
    watch: bool,

    /// Longest time to wait, in seconds.
    #[arg(long, default_value_t = 600, requires = "watch")]
    timeout_s: u64,
}

impl RolloutCommand {
    /// Runs the command.
    pub(crate) async fn run(
        self,
        client: &client::Client,
        output: &output::Output,
    ) -> Result<(), cli_error::CliError> {
        let Self::Status(args) = self;
        if args.watch {
            watch(client, output, time::Duration::from_secs(args.timeout_s)).await?;
        }
        print(output, &status(client).await?)
    }
}

async fn status(client: &client::Client) -> Result<lift_admin::RolloutStatus, cli_error::CliError> {
    let policy: lift_types::Policy = client.get("/v1/policy").await?;
    let members = fleet::members(client).await?;
    Ok(lift_admin::RolloutStatus::of(&policy, &members))
}

async fn watch(
    client: &client::Client,
    output: &output::Output,
    timeout: time::Duration,
) -> Result<(), cli_error::CliError> {
    let progress = progress::Progress::new(output);
    let until = time::Instant::now() + timeout;
    loop {
        let status = status(client).await?;
        progress.show(&status);
        if status.replicas > 0 && status.serving == status.replicas {
            progress.finish();
            return Ok(());
        }
        if time::Instant::now() >= until {
            progress.finish();
            let text = format!(
                "{} of {} replicas serve their version after {} s",
                status.serving,
                status.replicas,
                timeout.as_secs()
            );
            return Err(cli_error::CliError::Failed(text));
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

fn print(
    output: &output::Output,
    status: &lift_admin::RolloutStatus,
) -> Result<(), cli_error::CliError> {
    let row = |region: &lift_admin::RegionStatus| {
        vec![
            region.region.clone(),
            format!("{} of {}", region.serving, region.replicas),
            region.following.to_string(),
            held_text(region),
            lagging_text(region),
        ]
    };
    let rows = status.regions.iter().map(row).collect();
    let head = ["region", "serving", "following default", "held", "lagging"];
    output.table(&head, rows, status)
}

fn held_text(region: &lift_admin::RegionStatus) -> String {
    let held = region.held.iter().map(|held| {
        let version = held.version.as_deref().unwrap_or("none");
        format!(
            "{} at {version} by {}: {}",
            held.hosts, held.exception, held.reason
        )
    });
    held.collect::<Vec<_>>().join("\n")
}

fn lagging_text(region: &lift_admin::RegionStatus) -> String {
    let named = region.lagging.iter().take(NAMED_HOSTS).map(|lagging| {
        let serving = lagging.serving.as_deref().unwrap_or("nothing");
        let wanted = lagging.wanted.as_deref().unwrap_or("nothing");
        format!("host {}: {serving}, wanted {wanted}", lagging.host)
    });
    let mut text = named.collect::<Vec<_>>().join("\n");
    if region.lagging.len() > NAMED_HOSTS {
        text += &format!("\nand {} more", region.lagging.len() - NAMED_HOSTS);
    }
    text
}
