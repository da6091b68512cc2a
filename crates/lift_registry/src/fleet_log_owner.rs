//! Decides as which member the log of a host runs.

use std::{ops, sync};

use error_stack::ResultExt as _;
use tokio::sync::watch;

use crate::{member_bootstrap, member_disk, registry};

/// Number of entries applied since the last snapshot that triggers a new one. Low, because each
/// entry may hold a complete document that the next one makes obsolete.
const SNAPSHOT_AFTER_ENTRIES: u64 = 256;

/// Number of entries covered by the snapshot that stay in memory for slow members.
const KEEP_ENTRIES: u64 = 64;

type Result<T> = std::result::Result<T, error_stack::Report<lift_log::StartError>>;

/// Opens the log as the member of the host's disk, or as a new one.
#[derive(Debug)]
pub(crate) struct FleetLogOwner {
    pub(crate) registry: sync::Arc<registry::Registry>,
    pub(crate) bootstrap: member_bootstrap::MemberBootstrap,
    pub(crate) timing: lift_consensus::Timing,
    /// The last member of this host that was removed from control.
    pub(crate) removed: watch::Receiver<Option<lift_types::MemberId>>,
}

impl FleetLogOwner {
    async fn open_as(&self, id: lift_types::MemberId) -> Result<lift_log::LogDriver> {
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
        builder.start().await
    }
}

#[async_trait::async_trait]
impl lift_log::LogOwner for FleetLogOwner {
    async fn open(&self) -> Result<sync::Arc<lift_log::LogDriver>> {
        let id = self.bootstrap.obtain_id().await;
        let id = id.change_context(lift_log::StartError::Owner)?;
        self.open_as(id).await.map(sync::Arc::new)
    }

    fn started(&self, log: &sync::Arc<lift_log::LogDriver>) {
        self.registry.current_log.set(Some(log.clone()));
    }

    async fn wait_for_removal(&self, log: &lift_log::LogDriver) {
        let id = lift_log::ReplicatedLog::members(log).id;
        let mut removed = self.removed.clone();
        // The feed also ends with the process, which is no removal: the disk then stays as it is.
        if removed
            .wait_for(|removed| *removed == Some(id))
            .await
            .is_err()
        {
            std::future::pending::<()>().await;
        }
    }

    fn stopped(&self) {
        self.registry.current_log.set(None);
    }

    async fn closed(
        &self,
        member: lift_types::MemberId,
        end: lift_log::LogEnd,
    ) -> Result<ops::ControlFlow<()>> {
        if end != lift_log::LogEnd::Stopped {
            let folder = self.bootstrap.folder.clone();
            let retire = move || member_disk::retire(&folder, member);
            let retired = tokio::task::spawn_blocking(retire).await;
            let retired = retired.change_context(lift_log::StartError::Owner)?;
            retired.change_context(lift_log::StartError::Owner)?;
        }
        Ok(ops::ControlFlow::Continue(()))
    }
}
