//! `liftctl version`.

use std::path;

use crate::{cli_error, client, output, version_manifest};

/// Commands on versions.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum VersionCommand {
    /// Hashes a file of weights and makes the version known.
    Publish(VersionPublishArgs),
    /// Lists known versions, oldest first.
    List,
}

/// A version to publish.
#[derive(Debug, clap::Args)]
pub(crate) struct VersionPublishArgs {
    /// File of weights, the same that the origin offers under this version.
    #[arg(long)]
    file: path::PathBuf,

    /// Name of the version.
    #[arg(long)]
    name: lift_types::VersionId,

    /// Length of a chunk in bytes.
    #[arg(long, default_value_t = 1024 * 1024, value_parser = clap::value_parser!(u32).range(1024..))]
    chunk_size: u32,
}

impl VersionCommand {
    /// Runs the command.
    pub(crate) async fn run(
        self,
        client: &client::Client,
        output: &output::Output,
    ) -> Result<(), cli_error::CliError> {
        match self {
            Self::Publish(args) => publish(client, output, args).await,
            Self::List => list(client, output).await,
        }
    }
}

async fn publish(
    client: &client::Client,
    output: &output::Output,
    args: VersionPublishArgs,
) -> Result<(), cli_error::CliError> {
    let manifest = version_manifest::build(&args.file, &args.name, args.chunk_size)?;
    let body = lift_admin::ManifestBody::from(&manifest);
    let buf = serde_json::to_vec(&body).map_err(|e| cli_error::CliError::Failed(e.to_string()))?;
    let call = client.call(http::Method::POST, "/v1/versions", bytes::Bytes::from(buf));
    call.await?.check()?;
    let text = format!(
        "published {}: {} bytes in {} chunks, hash {}",
        manifest.version,
        manifest.length,
        manifest.chunks.len(),
        body.whole
    );
    let value = serde_json::json!({
        "version": manifest.version,
        "length": manifest.length,
        "chunks": manifest.chunks.len(),
        "whole": body.whole,
    });
    output.done(&text, &value)
}

async fn list(client: &client::Client, output: &output::Output) -> Result<(), cli_error::CliError> {
    let versions: Vec<lift_admin::VersionStatus> = client.get("/v1/versions").await?;
    let row = |v: &lift_admin::VersionStatus| vec![v.version.clone(), v.serving.to_string()];
    let rows = versions.iter().map(row).collect();
    output.table(&["version", "replicas serving"], rows, &versions)
}
