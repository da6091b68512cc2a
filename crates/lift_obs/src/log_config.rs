//! Settings of the log.

use std::{io, time};

use slog::Drain as _;

use crate::{log_error, lossy_drain};

/// Events that may wait for the writer. Above it events are dropped and the number of
/// dropped events is logged, so that a slow terminal never blocks a request.
const CHANNEL_EVENTS: usize = 4_096;

/// Builds the logger of a process. Without further settings it logs at level `info` to
/// standard error.
#[derive(Clone, Debug)]
pub struct LogConfig {
    level: slog::Level,
    output: Output,
}

/// Where lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Output {
    Stdout,
    Stderr,
}

impl LogConfig {
    /// Starts with level `info`.
    pub fn new() -> Self {
        Self {
            level: slog::Level::Info,
            output: Output::Stderr,
        }
    }

    /// Sets the lowest level that is logged: `trace`, `debug`, `info`, `warning`, `error`
    /// or `critical`.
    ///
    /// # Errors
    ///
    /// Returns an error for any other name.
    pub fn level(mut self, name: &str) -> Result<Self, log_error::LogError> {
        self.level = name.parse().map_err(|()| log_error::LogError::new(name))?;
        Ok(self)
    }

    /// Writes to standard output instead of standard error.
    pub fn to_stdout(mut self) -> Self {
        self.output = Output::Stdout;
        self
    }

    /// Builds the logger. Its lines are written by a thread of their own.
    pub fn build(&self) -> slog::Logger {
        self.build_for(match self.output {
            Output::Stdout => Box::new(io::stdout()),
            Output::Stderr => Box::new(io::stderr()),
        })
    }

    /// Builds a logger that writes to `output` instead. Log calls never fail, whatever happens
    /// to the output.
    pub fn build_for(&self, output: Box<dyn io::Write + Send>) -> slog::Logger {
        let drain = lossy_drain::LossyDrain::new(output);
        let drain = slog_async::Async::new(drain)
            .chan_size(CHANNEL_EVENTS)
            .build();
        let drain = slog::LevelFilter::new(drain, self.level).ignore_res();
        slog::Logger::root(drain, slog::o!("ts" => slog::FnValue(timestamp)))
    }

    /// A logger that drops every event, for tests and embedded use.
    pub fn discard() -> slog::Logger {
        slog::Logger::root(slog::Discard, slog::o!())
    }
}

/// Wall clock in RFC 3339 with milliseconds, so that lines of several hosts can be merged.
pub(crate) fn timestamp(_: &slog::Record<'_>) -> String {
    humantime::format_rfc3339_millis(time::SystemTime::now()).to_string()
}

impl Default for LogConfig {
    fn default() -> Self {
        Self::new()
    }
}
