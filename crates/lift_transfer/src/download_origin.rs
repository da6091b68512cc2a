//! What a download does when the origin goes away and comes back.

use std::time;

use crate::{download, download_action, origin_schedule, source};

/// Shortest absence of the origin after which its reads are scheduled anew. In 300 ms
/// at most 15% of the reads of a copy become due, where a copy takes 2.1 s.
pub const MIN_ORIGIN_ABSENCE: time::Duration = time::Duration::from_millis(300);

impl download::Download {
    /// Schedules the reads from the origin anew, as if the version had been named now. By the old
    /// schedule all of them would be due, and pieces that are read at once all arrive late.
    pub(crate) fn on_origin_back(
        &mut self,
        now: time::Instant,
        away_for: time::Duration,
        actions: &mut Vec<download_action::DownloadAction>,
    ) {
        self.sources.is_origin_away = false;
        if away_for < MIN_ORIGIN_ABSENCE {
            return;
        }
        // Reads that began before the absence are not answered any more.
        let origin = source::Source::Origin;
        for chunk in self.pending.remove_source(origin) {
            self.sources.remove_in_flight(origin);
            self.mark_needed(chunk);
            let source = origin;
            actions.push(download_action::DownloadAction::Cancel { chunk, source });
        }
        self.pending.forget_origin_times();
        self.sources.origin.paused_until = None;
        if let Some(rate) = self.cfg.origin_rate {
            let holders = self.sources.holders.iter();
            let present = self.held.iter().zip(holders);
            let present: Vec<_> = present.map(|(held, n)| *held || *n > 0).collect();
            let size = self.manifest.chunk_size;
            let schedule = origin_schedule::OriginSchedule::new(now, &present, size, rate);
            self.sources.origin_schedule = Some(schedule);
        }
    }
}
