//! Runs a node of a fleet until a signal.

use std::{fs, path, time};

use tokio::signal::unix;

use crate::{fleet_adapter, fleet_node, node_error, run};

/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Starts a node and stops it gracefully on SIGTERM or SIGINT. A SIGINT during the stop ends it
/// at once. Seeds are read again after SIGHUP and when the file changes.
///
/// # Errors
///
/// Returns an error where the node does not start.
pub async fn run_fleet(
    settings: &lift_settings::FleetSettings,
    file: &path::Path,
    adapter: &dyn fleet_adapter::FleetAdapter,
    log: slog::Logger,
) -> Result<run::RunEnd, error_stack::Report<node_error::NodeError>> {
    let mut signals = run::Signals::new()?;
    let mut hangup = run::listen(unix::SignalKind::hangup())?;
    let node = tokio::select! {
        node = fleet_node::FleetNode::start(settings, adapter, log.clone()) => node?,
        () = signals.next() => return Ok(run::RunEnd::Drained),
    };
    let mut known = fs::read(file).unwrap_or_default();
    loop {
        tokio::select! {
            () = signals.next() => break,
            _ = hangup.recv() => {}
            () = tokio::time::sleep(SETTINGS_INTERVAL) => {}
        }
        let Ok(read) = fs::read(file) else {
            continue;
        };
        if read == known {
            continue;
        }
        known = read;
        match lift_settings::FleetSettings::load(file) {
            Ok(settings) => node.reload(&settings),
            // The settings in force stay, and the next change is read again.
            Err(e) => slog::warn!(log, "settings not reloaded"; "error" => %e),
        }
    }
    let is_drained = tokio::select! {
        is_drained = node.stop(settings.grace()) => is_drained,
        () = signals.insist() => {
            slog::warn!(log, "interrupted, ending at once");
            return Ok(run::RunEnd::Killed);
        }
    };
    tokio::time::sleep(run::LOG_FLUSH).await;
    Ok(match is_drained {
        true => run::RunEnd::Drained,
        false => run::RunEnd::CutOff,
    })
}
