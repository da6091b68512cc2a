//! State of one control member.

use std::{sync, time};

use crate::{fleet_machine, log_slot};

/// Time without an answer, or as leader without having looked, after which a member counts
/// as lost. Longer than a restart of its process takes.
pub(crate) const LOST_AFTER: time::Duration = time::Duration::from_secs(4);

/// What a control member knows: the state of the log, and the backend servers, which are
/// kept in memory alone since they announce themselves again within seconds.
#[derive(Debug)]
pub struct Registry {
    pub(crate) machine: sync::Arc<fleet_machine::FleetMachine>,
    pub(crate) slot: log_slot::LogSlot,
    /// One lock for all backend servers: an announcement may displace another one that has
    /// the same address. It is held for one map operation.
    pub(crate) directory: parking_lot::Mutex<lift_fleet::Directory>,
    /// Heartbeats that changed nothing and wait to be relayed to the other members.
    pub(crate) refreshed: parking_lot::Mutex<Vec<lift_fleet::BackendRecord>>,
    pub(crate) node: lift_feed::NodeSetup,
    pub(crate) feed: sync::OnceLock<sync::Weak<lift_feed::FeedServer>>,
    /// Adding a host takes several changes of the members, which must not be interleaved with
    /// those of another host.
    pub(crate) joining: tokio::sync::Mutex<()>,
}

impl Registry {
    pub(crate) fn new(node: lift_feed::NodeSetup) -> Self {
        Self {
            machine: sync::Arc::new(fleet_machine::FleetMachine::new()),
            slot: log_slot::LogSlot::default(),
            directory: parking_lot::Mutex::default(),
            refreshed: parking_lot::Mutex::default(),
            node,
            feed: sync::OnceLock::new(),
            joining: tokio::sync::Mutex::new(()),
        }
    }

    /// The feed, until the member stops.
    pub(crate) fn feed(&self) -> Option<sync::Arc<lift_feed::FeedServer>> {
        self.feed.get().and_then(sync::Weak::upgrade)
    }

    /// Takes in what another member knows of backend servers, and passes on what is news.
    pub(crate) fn merge(&self, now: time::Instant, records: &[lift_fleet::BackendRecord]) {
        let mut changed = Vec::new();
        {
            let mut directory = self.directory.lock();
            for record in records {
                let outcome = directory.merge(now, record);
                if outcome == lift_fleet::UpdateOutcome::Changed {
                    changed.extend(directory.get(&record.announcement.id).cloned());
                }
            }
        }
        self.push(changed);
    }

    /// Tells all nodes about changed backend servers.
    pub(crate) fn push(&self, changed: Vec<lift_fleet::BackendRecord>) {
        if changed.is_empty() {
            return;
        }
        for record in &changed {
            let said = &record.announcement;
            slog::info!(self.node.log, "backend server changed"; "backend" => &said.id,
                "service" => &said.service, "address" => said.address,
                "state" => %said.state, "silent" => record.is_silent,
                "sequence" => said.sequence, "models" => ?said.models);
        }
        if let Some(feed) = self.feed() {
            feed.push_backends(changed);
        }
    }

    /// The log's members as the leader sees them, with the highest identifier in use.
    pub(crate) fn member_statuses(
        &self,
        status: &lift_log::LogStatus,
    ) -> Vec<lift_fleet::MemberStatus> {
        let now = lift_clock::now();
        let is_responsive = |id: lift_types::MemberId| {
            let answered = status.answers.get(&id);
            id == status.id
                || answered.is_some_and(|at| now.saturating_duration_since(*at) < LOST_AFTER)
        };
        let status_of = |(id, member): (lift_types::MemberId, &lift_consensus::Member)| {
            lift_fleet::MemberStatus {
                id,
                peer: member.peer,
                is_voter: status.members.is_voter(id),
                is_responsive: is_responsive(id),
            }
        };
        status.members.iter().map(status_of).collect()
    }
}
