//! The end of a case.

use std::process::ExitCode;

use crate::record::Record;

/// Whether the disruption is left out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Result of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run.
    NotRun,
}

/// Writes the result and turns it into an exit code.
pub fn end(record: &Record, verdict: Verdict, why: &str) -> ExitCode {
    record.say(&format!("result: {verdict:?}: {why}"));
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun => ExitCode::from(2),
    }
}
