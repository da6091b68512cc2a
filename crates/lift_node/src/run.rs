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
    /// An interrupt during the stop asked to end at once.
    Killed,
}

/// Starts a node and stops it gracefully on SIGTERM or SIGINT. A SIGINT during the stop ends the
/// wait for requests in progress at once, but a repeated SIGTERM does not, see
/// `docs/operate/first-run.md`.
///
/// # Errors
///
/// Returns an error where the node does not start.
pub async fn run(
    settings: &lift_settings::Settings,
    log: slog::Logger,
) -> Result<RunEnd, error_stack::Report<node_error::NodeError>> {
    let mut signals = Signals::new()?;
    // Keeps SIGHUP from ending the process. Settings are read only when it starts.
    let _hangup = listen(unix::SignalKind::hangup())?;
    let node = tokio::select! {
        node = node::Node::start(settings, log.clone()) => node?,
        () = signals.next() => return Ok(RunEnd::Drained),
    };
    signals.next().await;
    let report = tokio::select! {
        report = node.stop(settings.grace()) => report,
        () = signals.insist() => {
            slog::warn!(log, "interrupted, ending at once");
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

/// Signals that ask a node to stop, see `docs/operate/first-run.md`.
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

    /// Waits until the node is to stop.
    pub(crate) async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }

    /// Waits until a node that stops is to end at once. Only an interrupt means that: supervisors
    /// may repeat SIGTERM, and have SIGKILL for a process that takes too long.
    pub(crate) async fn insist(&mut self) {
        let _ = self.interrupt.recv().await;
    }
}

/// Listens for a signal.
pub(crate) fn listen(
    kind: unix::SignalKind,
) -> Result<unix::Signal, error_stack::Report<node_error::NodeError>> {
    unix::signal(kind)
        .map_err(|e| error_stack::Report::new(e).change_context(node_error::NodeError::Settings))
}
