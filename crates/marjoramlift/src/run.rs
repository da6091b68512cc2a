//! `marjoramlift run`.

use std::{path, process};

use crate::check;

/// Exit code of a node that an interrupt ended during its stop, as shells report one.
const KILLED: u8 = 130;

/// Runs a node until a signal.
pub(crate) fn run(file: &path::Path) -> process::ExitCode {
    let settings = match lift_settings::Settings::load(file) {
        Ok(settings) => settings,
        Err(e) => return check::refuse(&e),
    };
    exit(start(&settings))
}

/// Exit code of a node that has ended.
pub(crate) fn exit(end: Result<lift_node::RunEnd, String>) -> process::ExitCode {
    match end {
        Ok(lift_node::RunEnd::Drained) => process::ExitCode::SUCCESS,
        Ok(lift_node::RunEnd::CutOff) => process::ExitCode::FAILURE,
        Ok(lift_node::RunEnd::Killed) => process::ExitCode::from(KILLED),
        Err(problem) => {
            eprintln!("marjoramlift: {problem}");
            process::ExitCode::FAILURE
        }
    }
}

fn start(settings: &lift_settings::Settings) -> Result<lift_node::RunEnd, String> {
    let log = lift_obs::LogConfig::new().level(&settings.log_level);
    let log = log.map_err(|e| e.to_string())?.build();
    let runtime = runtime()?;
    let end = runtime.block_on(lift_node::run(settings, log));
    // Tasks that still wait for something must not hold up the end of the process.
    runtime.shutdown_background();
    end.map_err(|e| format!("{e:?}"))
}

/// The runtime of all roles.
pub(crate) fn runtime() -> Result<tokio::runtime::Runtime, String> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.enable_all().build().map_err(|e| e.to_string())
}
