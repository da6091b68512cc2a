//! Keeps the log of a member running.

use std::{ops, sync, time};

use crate::{log_end, log_owner, replicated_log::ReplicatedLog as _, start_error};

/// Delay before the log is started again after it stopped or failed to start.
const RESTART_DELAY: time::Duration = time::Duration::from_millis(500);

/// Runs the log and restarts it when it stops, for instance after a disk failure. A write that
/// failed leaves unknown what is durable, so each run reads its state from the disk again.
#[derive(Debug)]
pub struct LogSupervisor {
    /// Opens the log.
    pub owner: sync::Arc<dyn log_owner::LogOwner>,
    /// Logger of the process.
    pub log: slog::Logger,
    /// Counters of the process (`control.*`).
    pub counters: sync::Arc<lift_obs::Counters>,
}

impl LogSupervisor {
    /// Runs the log until its owner ends it or the task is dropped.
    pub async fn run(self) {
        loop {
            match self.run_once().await {
                Ok(ops::ControlFlow::Continue(())) => {}
                Ok(ops::ControlFlow::Break(())) => return,
                Err(e) => {
                    slog::error!(self.log, "control member failed"; "error" => ?e);
                    self.counters.increment("control.member_ended");
                }
            }
            tokio::time::sleep(RESTART_DELAY).await;
        }
    }

    async fn run_once(
        &self,
    ) -> Result<ops::ControlFlow<()>, error_stack::Report<start_error::StartError>> {
        let log = self.owner.open().await?;
        let member = log.members().id;
        self.owner.started(&log);
        slog::info!(self.log, "control member runs"; "member" => member);
        let end = tokio::select! {
            end = log.ended() => end,
            () = self.owner.wait_for_removal(&log) => log_end::LogEnd::Removed,
        };
        self.owner.stopped();
        log.abort().await;
        drop(log);
        slog::warn!(self.log, "control member stopped"; "member" => member,
            "must_join_again" => end != log_end::LogEnd::Stopped);
        self.owner.closed(member, end).await
    }
}
