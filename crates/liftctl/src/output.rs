//! Output of commands.

use std::io::{self, IsTerminal as _, Write as _};

use crate::cli_error;

/// Writes tables, or JSON with `--json`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    format: Format,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Format {
    Text,
    Json,
}

impl Output {
    /// Chooses the format.
    pub(crate) fn new(json: bool) -> Self {
        let format = if json { Format::Json } else { Format::Text };
        Self { format }
    }

    /// Whether a person reads along on a terminal.
    pub(crate) fn is_terminal(&self) -> bool {
        self.format == Format::Text && io::stdout().is_terminal()
    }

    /// Prints a text, or `value` as JSON on one line.
    pub(crate) fn done<T: serde::Serialize>(
        &self,
        text: &str,
        value: &T,
    ) -> Result<(), cli_error::CliError> {
        let line = match self.format {
            Format::Text => String::from(text),
            Format::Json => serde_json::to_string(value)
                .map_err(|e| cli_error::CliError::Failed(e.to_string()))?,
        };
        self.line(&line)
    }

    /// Prints a table, or `value` as JSON on one line.
    pub(crate) fn table<T: serde::Serialize>(
        &self,
        head: &[&str],
        rows: Vec<Vec<String>>,
        value: &T,
    ) -> Result<(), cli_error::CliError> {
        let mut table = comfy_table::Table::new();
        table.load_style(comfy_table::presets::UTF8_HORIZONTAL_ONLY);
        table.set_header(head.to_vec());
        table.add_rows(rows);
        self.done(&table.to_string(), value)
    }

    /// Prints a line on standard output. A reader that has gone away, as `head` does, is no
    /// failure.
    pub(crate) fn line(&self, line: &str) -> Result<(), cli_error::CliError> {
        match writeln!(io::stdout(), "{line}") {
            Err(e) if e.kind() != io::ErrorKind::BrokenPipe => {
                Err(cli_error::CliError::Failed(e.to_string()))
            }
            _ => Ok(()),
        }
    }

    /// Prints a remark on standard error.
    pub(crate) fn note(&self, text: &str) {
        eprintln!("{text}");
    }

    /// Prints a failure on standard error, and as JSON on standard output too.
    pub(crate) fn error(&self, error: &cli_error::CliError) {
        eprintln!("liftctl: {error}");
        if self.format == Format::Json {
            let value = serde_json::json!({
                "error": error.to_string(),
                "exit_code": error.exit_code(),
            });
            let _ = self.line(&value.to_string());
        }
    }
}
