//! Arguments of `liftctl`.

use std::path;

use crate::{cli_error, client, command, output, server};

/// Operates a fleet through the administration API of its entries.
///
/// Exit codes: 0 done, 1 failed, 2 bad usage or value, 3 revision conflict, 4 unreachable.
#[derive(Debug, clap::Parser)]
#[command(name = "liftctl", version, max_term_width = 100)]
pub(crate) struct Cli {
    /// Address of an entry's administration API, as http://HOST:PORT or https://HOST:PORT.
    /// Give one entry of each region to see the whole fleet. Changes go to the first that
    /// answers.
    #[arg(
        long = "server",
        env = "LIFTCTL_SERVER",
        value_delimiter = ',',
        default_value = "http://127.0.0.1:7001",
        global = true
    )]
    servers: Vec<server::Server>,

    /// Bearer token.
    #[arg(long, env = "LIFTCTL_TOKEN", hide_env_values = true, global = true)]
    token: Option<String>,

    /// PEM file with the certificate authority of the servers, for https.
    #[arg(long, env = "LIFTCTL_CA", global = true)]
    ca: Option<path::PathBuf>,

    /// Prints one JSON value.
    #[arg(long, global = true)]
    pub(crate) json: bool,

    #[command(subcommand)]
    command: command::Command,
}

impl Cli {
    /// Runs the command.
    pub(crate) async fn run(self, output: &output::Output) -> Result<(), cli_error::CliError> {
        let client = client::Client::new(self.servers, self.token, self.ca.as_deref())?;
        self.command.run(&client, output).await
    }
}
