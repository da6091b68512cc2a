//! Log lines of a transfer.

use std::sync;

use sync::atomic;

use crate::fetch;

/// Looks between two lines of the log.
const TICKS_PER_LINE: u32 = 20;

/// Writes how far the transfer is, once a second.
#[derive(Debug, Default)]
pub(crate) struct ProgressLog {
    ticks: u32,
}

impl ProgressLog {
    /// Writes a line if it is time for one.
    pub(crate) fn write(&mut self, fetch: &fetch::Fetch, link_percent: u32) {
        self.ticks += 1;
        if self.ticks.is_multiple_of(TICKS_PER_LINE) {
            slog::info!(fetch.shared.log, "pieces on their way";
                "version" => fetch.staged.manifest.version,
                "named_for_ms" => fetch.shared.named_for_ms(&fetch.staged.manifest),
                "held" => fetch.staged.all().len(), "link_percent" => link_percent,
                "from_origin" => fetch.from_origin.load(atomic::Ordering::Relaxed));
        }
    }
}
