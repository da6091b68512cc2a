//! State of one control member.

use std::{sync, time};

use crate::{current_log, fleet_state_machine};

/// Time without an answer after which a member counts as lost. A new leader waits as long before
/// it counts a voter as lost. Longer than the restart of a process takes.
pub(crate) const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// Holds the state of the replicated log and the directory of backend servers. The directory is
/// kept in memory only, because backend servers announce themselves again within seconds.
#[derive(Debug)]
pub struct Registry {
    pub(crate) state_machine: sync::Arc<fleet_state_machine::FleetStateMachine>,
    pub(crate) current_log: sync::Arc<current_log::CurrentLog>,
    /// One lock covers all backend servers, because an announcement may replace another one with
    /// the same address. It is held for short in-memory operations only.
    pub(crate) directory: parking_lot::Mutex<lift_fleet::Directory>,
    /// Heartbeats without a change that are still to be relayed to the other members.
    pub(crate) refreshed: parking_lot::Mutex<Vec<lift_fleet::BackendRecord>>,
    pub(crate) node: lift_feed::NodeSetup,
    /// Failure domains of the fleet, which operators may evacuate.
    pub(crate) failure_domains: indexmap::IndexSet<lift_types::FailureDomainId>,
    pub(crate) feed: sync::OnceLock<sync::Weak<lift_feed::FeedServer>>,
    /// Held during a join request. It may take several member changes, which must not be
    /// interleaved with those of another request.
    pub(crate) join_lock: tokio::sync::Mutex<()>,
}

impl Registry {
    pub(crate) fn new(
        node: lift_feed::NodeSetup,
        failure_domains: indexmap::IndexSet<lift_types::FailureDomainId>,
    ) -> Self {
        let current_log = sync::Arc::new(current_log::CurrentLog::default());
        let state_machine =
            fleet_state_machine::FleetStateMachine::of_log(sync::Arc::downgrade(&current_log));
        Self {
            state_machine: sync::Arc::new(state_machine),
            current_log,
            directory: parking_lot::Mutex::default(),
            refreshed: parking_lot::Mutex::default(),
            node,
            failure_domains,
            feed: sync::OnceLock::new(),
            join_lock: tokio::sync::Mutex::new(()),
        }
    }

    /// Returns the feed server, or `None` before it is set and after it was dropped.
    pub(crate) fn feed(&self) -> Option<sync::Arc<lift_feed::FeedServer>> {
        self.feed.get().and_then(sync::Weak::upgrade)
    }

    /// Merges records of backend servers from another member and pushes those that changed.
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
        self.push_backends(changed);
    }

    /// Logs changed backend servers and pushes them to all nodes.
    pub(crate) fn push_backends(&self, changed: Vec<lift_fleet::BackendRecord>) {
        if changed.is_empty() {
            return;
        }
        for record in &changed {
            let announcement = &record.announcement;
            slog::info!(self.node.log, "backend server changed"; "backend" => &announcement.id,
                "service" => &announcement.service, "address" => announcement.address,
                "state" => %announcement.state, "silent" => record.is_silent,
                "sequence" => announcement.sequence,
                "cold_ms" => announcement.warmup_left.as_millis() as u64,
                "models" => ?announcement.models);
        }
        if let Some(feed) = self.feed() {
            feed.push_backends(changed);
        }
    }

    /// Returns the status of all members of the log. Only the leader receives answers, so
    /// `is_responsive` is meaningful on the leader only.
    pub(crate) fn member_statuses(
        &self,
        status: &lift_log::LogStatus,
    ) -> Vec<lift_fleet::MemberStatus> {
        let now = lift_clock::now();
        let is_responsive = |id: lift_types::MemberId| {
            let answered = status.answers.get(&id);
            id == status.id
                || answered.is_some_and(|at| now.saturating_duration_since(*at) < RESPONSE_TIMEOUT)
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
