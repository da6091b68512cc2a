//! Arguments of `marjoramlift`.

use std::{path, process};

use crate::{check, demo, fleet, run};

/// Distributes new model weights to fleets of inference hosts while they serve requests.
#[derive(Debug, clap::Parser)]
#[command(name = "marjoramlift", version, max_term_width = 100)]
pub(crate) struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, clap::Subcommand)]
enum Command {
    /// Runs a node until SIGTERM or SIGINT, then finishes the requests in progress and exits
    /// with 0. A SIGINT during the stop ends it at once.
    Run(SettingsArgs),
    /// Validates settings. Exits with 0, or with 2 and one line: the field's path, what is
    /// wrong and what is allowed.
    Check(SettingsArgs),
    /// Runs all roles in this process on loopback, spreads a version while callers send
    /// requests, and reports. Exits with 0 if every replica serves it and every answer is
    /// right.
    Demo(demo::DemoArgs),
    /// Runs a node of a fleet whose backend servers announce themselves, on the users'
    /// platform, until SIGTERM or SIGINT. SIGHUP makes it read its seeds again.
    Fleet(SettingsArgs),
    /// Validates settings of `fleet`. Exits as `check` does.
    CheckFleet(SettingsArgs),
}

/// A settings file.
#[derive(Debug, clap::Args)]
struct SettingsArgs {
    /// JSON settings of the node.
    #[arg(long, value_name = "FILE")]
    settings: path::PathBuf,
}

impl Cli {
    /// Runs the command.
    pub(crate) fn run(self) -> process::ExitCode {
        match self.command {
            Command::Run(args) => run::run(&args.settings),
            Command::Check(args) => check::run(&args.settings),
            Command::Demo(args) => args.run(),
            Command::Fleet(args) => fleet::run(&args.settings),
            Command::CheckFleet(args) => fleet::check(&args.settings),
        }
    }
}
