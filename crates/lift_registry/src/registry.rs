//! State of one control member.

use std::{sync, time};

use crate::{fleet_machine, log_slot};

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
    pub(crate) codec: sync::Arc<dyn lift_fleet::DocumentCodec>,
    pub(crate) ports: lift_feed::FeedPorts,
    pub(crate) feed: sync::OnceLock<sync::Weak<lift_feed::FeedServer>>,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    pub(crate) logger: slog::Logger,
    /// Adding a host takes several changes of the members, which must not be interleaved with
    /// those of another host.
    pub(crate) joining: tokio::sync::Mutex<()>,
}

impl Registry {
    pub(crate) fn new(
        codec: sync::Arc<dyn lift_fleet::DocumentCodec>,
        ports: lift_feed::FeedPorts,
        counters: sync::Arc<lift_obs::Counters>,
        logger: slog::Logger,
    ) -> Self {
        Self {
            machine: sync::Arc::new(fleet_machine::FleetMachine::new()),
            slot: log_slot::LogSlot::default(),
            directory: parking_lot::Mutex::default(),
            refreshed: parking_lot::Mutex::default(),
            codec,
            ports,
            feed: sync::OnceLock::new(),
            counters,
            logger,
            joining: tokio::sync::Mutex::new(()),
        }
    }

    /// Takes in what another member knows of backend servers, and passes on what is news.
    pub(crate) fn merge(&self, now: time::Instant, records: &[lift_fleet::BackendRecord]) {
        let mut changed = Vec::new();
        {
            let mut directory = self.directory.lock();
            for record in records {
                let size = directory.merge(now, record);
                if size == lift_fleet::ChangeSize::Changed {
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
            slog::info!(self.logger, "backend server changed"; "backend" => &said.id,
                "service" => &said.service, "address" => said.address,
                "state" => %said.state, "silent" => record.is_silent,
                "sequence" => said.sequence, "models" => ?said.models);
        }
        if let Some(feed) = self.feed.get().and_then(sync::Weak::upgrade) {
            feed.push_backends(changed);
        }
    }

    /// The log's members as the leader sees them, with the highest identifier in use.
    pub(crate) fn sights(
        &self,
        status: &lift_log::LogStatus,
        lost_after: time::Duration,
    ) -> Vec<lift_fleet::MemberSight> {
        let now = lift_clock::now();
        let is_answering = |id: lift_types::MemberId| {
            let answered = status.answers.get(&id);
            id == status.id
                || answered.is_some_and(|at| now.saturating_duration_since(*at) < lost_after)
        };
        let sight = |(id, member): (lift_types::MemberId, &lift_consensus::Member)| {
            lift_fleet::MemberSight {
                id,
                peer: member.peer,
                is_voter: status.members.is_voter(id),
                is_answering: is_answering(id),
            }
        };
        status.members.iter().map(sight).collect()
    }
}
