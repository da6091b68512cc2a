//! `marjoramlift check`.

use std::{path, process};

/// Exit code for settings that are not valid.
const INVALID_SETTINGS: u8 = 2;

/// Reads and checks a settings file.
pub(crate) fn run(file: &path::Path) -> process::ExitCode {
    match lift_settings::Settings::load(file) {
        Ok(_) => process::ExitCode::SUCCESS,
        Err(e) => refuse(&e),
    }
}

/// Prints the field at fault on one line.
pub(crate) fn refuse(
    error: &error_stack::Report<lift_settings::SettingsError>,
) -> process::ExitCode {
    eprintln!("marjoramlift: {}", error.current_context());
    process::ExitCode::from(INVALID_SETTINGS)
}
