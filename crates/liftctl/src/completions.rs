//! `liftctl completions`.

use clap::CommandFactory as _;

use crate::{cli, cli_error, output};

/// For which shell.
#[derive(Debug, clap::Args)]
pub(crate) struct CompletionsArgs {
    /// The shell.
    shell: clap_complete::Shell,
}

impl CompletionsArgs {
    /// Prints the script.
    pub(crate) fn run(&self, output: &output::Output) -> Result<(), cli_error::CliError> {
        let mut script = Vec::new();
        clap_complete::generate(self.shell, &mut cli::Cli::command(), "liftctl", &mut script);
        let script = String::from_utf8_lossy(&script).into_owned();
        let value = serde_json::json!({"shell": self.shell.to_string(), "script": script});
        output.done(script.trim_end(), &value)
    }
}
