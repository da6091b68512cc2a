//! `liftctl`: the operators' client of the administration API.
//!
//! [`cli::Cli`] holds the arguments. Each command has a module of its own, which calls the
//! administration API through [`client::Client`] and writes to [`output::Output`]: tables by
//! default, one JSON value with `--json`. [`change`] sends changes of the policy and repeats
//! them under the same change id. Exit codes are those of [`cli_error::CliError`]: 0 done,
//! 1 failed, 2 bad usage or value, 3 revision conflict, 4 unreachable.

mod audit;
mod change;
mod change_args;
mod cli;
mod cli_error;
mod client;
mod command;
mod completions;
mod control;
mod default;
mod document;
mod exception;
mod exception_value_args;
mod experiment;
mod experiment_chart;
mod experiment_page;
mod fleet;
mod limit_args;
mod members;
mod output;
mod policy;
mod policy_diff;
mod progress;
mod reply;
mod rollout;
mod server;
mod tls;
mod token;
mod version;
mod version_manifest;

use std::process;

use clap::Parser as _;

#[tokio::main]
async fn main() -> process::ExitCode {
    let cli = cli::Cli::parse();
    let output = output::Output::new(cli.json);
    match cli.run(&output).await {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => {
            output.error(&e);
            process::ExitCode::from(e.exit_code())
        }
    }
}
