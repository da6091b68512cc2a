//! Keeps the log of a control member running.

use std::{sync, time};

use error_stack::ResultExt as _;
use tokio::sync::watch;

use crate::{fleet_control_error, member_bootstrap, member_disk, registry};

/// Delay before the log is started again after it stopped or failed to start.
const RESTART_DELAY: time::Duration = time::Duration::from_millis(500);

/// Number of entries applied since the last snapshot that triggers a new one. Low, because each
/// entry may hold a complete document that the next one makes obsolete.
const SNAPSHOT_AFTER_ENTRIES: u64 = 256;

/// Number of entries covered by the snapshot that stay in memory for slow members.
const KEEP_ENTRIES: u64 = 64;

type Result<T> =
    std::result::Result<T, error_stack::Report<fleet_control_error::FleetControlError>>;

/// Runs the log and restarts it when it stops, for instance after a disk failure or the removal
/// of this member.
#[derive(Debug)]
pub(crate) struct LogSupervisor {
    pub(crate) registry: sync::Arc<registry::Registry>,
    pub(crate) bootstrap: member_bootstrap::MemberBootstrap,
    pub(crate) timing: lift_consensus::Timing,
}

impl LogSupervisor {
    /// Runs the log until the task is dropped.
    pub(crate) async fn run(self, mut removed: watch::Receiver<Option<lift_types::MemberId>>) {
        loop {
            if let Err(e) = self.run_once(&mut removed).await {
                slog::error!(self.bootstrap.node.log, "control member failed"; "error" => %e);
                self.bootstrap
                    .node
                    .counters
                    .increment("control.member_ended");
            }
            tokio::time::sleep(RESTART_DELAY).await;
        }
    }

    async fn run_once(
        &self,
        removed: &mut watch::Receiver<Option<lift_types::MemberId>>,
    ) -> Result<()> {
        let id = self.bootstrap.obtain_id().await?;
        let log = sync::Arc::new(self.open(id).await?);
        self.registry.current_log.set(Some(log.clone()));
        slog::info!(self.bootstrap.node.log, "control member runs"; "member" => id);
        let must_join_again = tokio::select! {
            end = log.ended() => end == lift_log::LogEnd::DiskReplaced,
            () = wait_for_removal(removed, id) => true,
        };
        self.registry.current_log.set(None);
        log.abort().await;
        drop(log);
        slog::warn!(self.bootstrap.node.log, "control member stopped"; "member" => id,
            "must_join_again" => must_join_again);
        if must_join_again {
            let folder = self.bootstrap.folder.clone();
            let retire = move || member_disk::retire(&folder, id);
            let retired = tokio::task::spawn_blocking(retire).await;
            retired.map_err(|_| fleet_control_error::FleetControlError::Start("disk"))??;
        }
        Ok(())
    }

    async fn open(&self, id: lift_types::MemberId) -> Result<lift_log::LogDriver> {
        let bootstrap = &self.bootstrap;
        let limits = lift_consensus::Limits {
            snapshot_after_entries: SNAPSHOT_AFTER_ENTRIES,
            keep_entries: KEEP_ENTRIES,
            ..lift_consensus::Limits::default()
        };
        let mut builder = lift_log::LogDriver::builder()
            .id(id)
            .folder(&bootstrap.folder)
            .keys(bootstrap.node.keys.clone())
            .peer_address(bootstrap.node.ports.peer(bootstrap.node.listen_host()))
            .advertise(bootstrap.node.ports.peer(bootstrap.node.host()))
            .state_machine(self.registry.state_machine.clone())
            .timing(self.timing)
            .limits(limits)
            .logger(bootstrap.node.log.clone())
            .counters(sync::Arc::clone(&self.bootstrap.node.counters));
        let initial = bootstrap.initial_members();
        if initial.iter().any(|(member, _)| *member == id) {
            for (id, control) in initial {
                builder =
                    builder.initial_member(id, bootstrap.node.ports.peer(control.ip()), control);
            }
        }
        let opened = builder.start().await;
        opened.change_context(fleet_control_error::FleetControlError::Start(
            "replicated log",
        ))
    }
}

/// Waits until `member` is known to be removed. The end of the feed is no removal: it also ends
/// when the process does, and the disk must then stay as it is.
async fn wait_for_removal(
    removed: &mut watch::Receiver<Option<lift_types::MemberId>>,
    member: lift_types::MemberId,
) {
    if removed
        .wait_for(|removed| *removed == Some(member))
        .await
        .is_err()
    {
        std::future::pending::<()>().await;
    }
}
