//! `marjoramlift fleet` and `marjoramlift check-fleet`.

use std::{path, process};

use crate::{check, run};

/// Threads that serve requests. Hosts of a fleet have a core or less; a second thread goes on
/// while the first decodes a long document.
const WORKER_THREADS: usize = 2;

/// Runs a node until a signal.
pub(crate) fn run(file: &path::Path) -> process::ExitCode {
    let settings = match lift_settings::FleetSettings::load(file) {
        Ok(settings) => settings,
        Err(e) => return check::refuse(&e),
    };
    run::exit(start(&settings, file))
}

/// Reads and checks a settings file.
pub(crate) fn check(file: &path::Path) -> process::ExitCode {
    match lift_settings::FleetSettings::load(file) {
        Ok(_) => process::ExitCode::SUCCESS,
        Err(e) => check::refuse(&e),
    }
}

fn start(
    settings: &lift_settings::FleetSettings,
    file: &path::Path,
) -> Result<lift_node::RunEnd, String> {
    let log = lift_obs::LogConfig::new().level(&settings.log_level);
    let log = log.map_err(|e| e.to_string())?.to_stdout().build();
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder
        .enable_all()
        .worker_threads(WORKER_THREADS)
        .build()
        .map_err(|e| e.to_string())?;
    let running = lift_node::run_fleet(settings, file, &lift_platform::Platform, log);
    let end = runtime.block_on(running);
    // Tasks that still wait for something must not hold up the end of the process.
    runtime.shutdown_background();
    end.map_err(|e| format!("{e:?}"))
}
