//! Staging of the pieces that arrive in a transfer.

use std::{sync, time};

use sync::atomic;

use crate::{fetch, shared, stage_error};

/// Time for one piece from the origin, whose link all agents share.
const ORIGIN_TIMEOUT: time::Duration = time::Duration::from_secs(4);

impl fetch::Fetch {
    /// Reads a piece from the origin and stages it.
    pub(crate) async fn read_origin(self: &sync::Arc<Self>, chunk: lift_types::ChunkIndex) {
        let source = lift_transfer::Source::Origin;
        let manifest = &self.staged.manifest;
        let reads = self.reads.lock().clone();
        let reading = self.shared.origin.piece(
            self.origin,
            &manifest.model,
            manifest.version,
            chunk,
            manifest.max_piece_bytes(),
        );
        // Only the read is cancelled: a piece that came is kept while its write waits.
        let reading = reads.run_until_cancelled(shared::within(ORIGIN_TIMEOUT, reading));
        let Some(read) = reading.await else { return };
        match read {
            Ok(bytes) => {
                self.shared.counters.increment("agent.pieces_from_origin");
                self.shared.origin_monitor.record_answer();
                self.arrive(chunk, bytes, source).await;
            }
            Err(e) => {
                self.shared.counters.increment("agent.origin_failed");
                slog::debug!(self.shared.log, "origin failed"; "piece" => chunk, "error" => %e);
                self.on_origin_failure(e.current_context());
                self.step(lift_transfer::DownloadEvent::Refused {
                    chunk,
                    source,
                    retry_after: None,
                });
            }
        }
    }

    /// Checks a piece that came and puts it into the staging area.
    pub(crate) async fn arrive(
        self: &sync::Arc<Self>,
        chunk: lift_types::ChunkIndex,
        bytes: bytes::Bytes,
        source: lift_transfer::Source,
    ) {
        let manifest = &self.staged.manifest;
        if !manifest.matches(chunk, &bytes) {
            self.shared.counters.increment("agent.pieces_corrupt");
            slog::warn!(self.shared.log, "piece does not match its digest";
                "piece" => chunk, "version" => manifest.version, "source" => ?source);
            self.step(lift_transfer::DownloadEvent::Corrupt { chunk, source });
            return;
        }
        if self.staged.holds(chunk) {
            self.step(lift_transfer::DownloadEvent::Arrived { chunk, source });
            return;
        }
        let area = &self.shared.staging_area;
        let writing = area.write(&self.shared.staged, &self.staged, chunk, bytes);
        match writing.await {
            Ok(()) => {
                let tally = match source {
                    lift_transfer::Source::Origin => &self.from_origin,
                    lift_transfer::Source::Peer(_) => &self.from_agents,
                };
                tally.fetch_add(1, atomic::Ordering::Relaxed);
                self.step(lift_transfer::DownloadEvent::Arrived { chunk, source });
            }
            Err(e) => self.give_up_write(chunk, source, e.current_context()),
        }
    }

    /// Notes that a piece could not be staged. Pieces that came too late for their version are
    /// counted apart: they are no sign of trouble at the backend server.
    fn give_up_write(
        self: &sync::Arc<Self>,
        chunk: lift_types::ChunkIndex,
        source: lift_transfer::Source,
        error: &stage_error::StageError,
    ) {
        let counter = match error {
            stage_error::StageError::Superseded => "agent.pieces_superseded",
            _ => "agent.stage_failed",
        };
        self.shared.counters.increment(counter);
        slog::debug!(self.shared.log, "piece not staged"; "piece" => chunk,
            "version" => self.staged.manifest.version, "source" => ?source, "error" => %error);
        self.step(lift_transfer::DownloadEvent::Refused {
            chunk,
            source,
            retry_after: None,
        });
    }
}
