//! Arguments of `marjoramlift`.

use std::{path, process};

use crate::check;

/// Distributes new model weights to fleets of inference hosts while they serve requests.
#[derive(Debug, clap::Parser)]
#[command(name = "marjoramlift", version, max_term_width = 100)]
pub(crate) struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, clap::Subcommand)]
enum Command {
    /// Validates settings. Exits with 0, or with 2 and one line: the field's path, what is
    /// wrong and what is allowed.
    Check(SettingsArgs),
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
            Command::Check(args) => check::run(&args.settings),
        }
    }
}
