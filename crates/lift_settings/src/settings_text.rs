//! Text of a settings file.

use std::{fs, path};

use crate::settings_error;

/// Memory of a process, in megabytes. With less, a body of 4 MiB would find no room.
const MEMORY_MB: std::ops::RangeInclusive<u64> = 64..=1_000_000;

type Result<T> = std::result::Result<T, error_stack::Report<settings_error::SettingsError>>;

/// Reads a settings file.
pub(crate) fn read(file: &path::Path) -> Result<String> {
    let read = fs::read_to_string(file).map_err(|e| {
        settings_error::SettingsError::new(
            "(file)",
            format!("{} can't be read: {}", file.display(), e.kind()),
            "a readable JSON file",
        )
    });
    Ok(read?)
}

/// Decodes one JSON object. The first field that is unknown, missing or of the wrong type is
/// named.
pub(crate) fn parse<T: serde::de::DeserializeOwned>(text: &str) -> Result<T> {
    let mut decoder = serde_json::Deserializer::from_str(text);
    let settings = serde_path_to_error::deserialize(&mut decoder)
        .map_err(|e| settings_error::SettingsError::from_decoder(&e))?;
    decoder.end().map_err(|e| {
        settings_error::SettingsError::new("(file)", e.to_string(), "one JSON object")
    })?;
    Ok(settings)
}

/// Level of the log without a setting.
pub(crate) fn default_log_level() -> String {
    String::from("info")
}

/// Memory of the smallest host that runs a process, in megabytes.
pub(crate) fn default_memory_mb() -> u64 {
    128
}

/// Checks the memory of a process.
pub(crate) fn check_memory_mb(
    memory_mb: u64,
) -> std::result::Result<(), settings_error::SettingsError> {
    if MEMORY_MB.contains(&memory_mb) {
        return Ok(());
    }
    let problem = format!("{memory_mb} MB is out of range");
    Err(settings_error::SettingsError::new(
        "memory_mb",
        problem,
        "64 to 1000000",
    ))
}
