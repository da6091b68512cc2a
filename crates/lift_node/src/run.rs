//! Runs a node until a signal.

use std::time;

use tokio::signal::unix;

use crate::{node, node_error};

/// How a node ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// All requests in progress were finished.
    Drained,
    /// Requests were cut off at the end of the grace time.
    CutOff,
    /// A second signal asked to end at once.
    Killed,
}

/// Starts a node and stops it gracefully on SIGTERM or SIGINT. A second signal ends the wait
/// for requests in progress at once.
///
/// # Errors
///
/// Returns an error where the node does not start.
pub async fn run(
    settings: &lift_settings::Settings,
    log: slog::Logger,
) -> Result<RunEnd, error_stack::Report<node_error::NodeError>> {
    let mut signals = Signals::new()?;
    let node = tokio::select! {
        node = node::Node::start(settings, log.clone()) => node?,
        () = signals.next() => return Ok(RunEnd::Drained),
    };
    signals.next().await;
    let report = tokio::select! {
        report = node.stop(settings.grace()) => report,
        () = signals.next() => {
            slog::warn!(log, "second signal, ending at once");
            return Ok(RunEnd::Killed);
        }
    };
    // The log is written by another thread; a moment lets it write the last lines.
    tokio::time::sleep(LOG_FLUSH).await;
    Ok(if report.cut_off == 0 {
        RunEnd::Drained
    } else {
        RunEnd::CutOff
    })
}

/// Time for the last lines of the log.
pub(crate) const LOG_FLUSH: time::Duration = time::Duration::from_millis(20);

/// Signals that ask a node to stop.
pub(crate) struct Signals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
}

impl Signals {
    pub(crate) fn new() -> Result<Self, error_stack::Report<node_error::NodeError>> {
        Ok(Self {
            terminate: listen(unix::SignalKind::terminate())?,
            interrupt: listen(unix::SignalKind::interrupt())?,
        })
    }

    pub(crate) async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Listens for a signal.
pub(crate) fn listen(
    kind: unix::SignalKind,
) -> Result<unix::Signal, error_stack::Report<node_error::NodeError>> {
    unix::signal(kind)
        .map_err(|e| error_stack::Report::new(e).change_context(node_error::NodeError::Settings))
}
