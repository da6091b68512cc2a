//! Directory of agents.

use std::{sync, sync::atomic, time};

use crate::{live_agent, routing_table};

/// Number of shards of the directory.
const SHARDS: usize = 16;

/// Interval at which silent hosts are removed and changes are applied to the routing table.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Number of checks after which the routing table is rebuilt without a change, to update the
/// reported loads.
const CHECKS_PER_REBUILD: u32 = 10;

/// Live agents according to their heartbeats, with a routing table that is rebuilt from them.
#[derive(Debug)]
pub(crate) struct Directory {
    region: lift_types::RegionId,
    members: lift_shard::Shards<lift_route::Membership>,
    routing_table: parking_lot::RwLock<sync::Arc<routing_table::RoutingTable>>,
    is_changed: atomic::AtomicBool,
}

impl Directory {
    pub(crate) fn new(region: lift_types::RegionId) -> Self {
        Self {
            region,
            members: lift_shard::Shards::new(SHARDS, |_| lift_route::Membership::new()),
            routing_table: parking_lot::RwLock::default(),
            is_changed: atomic::AtomicBool::new(false),
        }
    }

    /// Applies a report that was received at `now`.
    pub(crate) fn apply_report(
        &self,
        now: time::Instant,
        report: lift_route::HostReport,
    ) -> lift_route::ReportEffect {
        let host = report.location.host;
        let effect = self
            .members
            .with(&host, |members| members.apply_report(now, report));
        if matches!(
            effect,
            lift_route::ReportEffect::Joined | lift_route::ReportEffect::Changed
        ) {
            self.is_changed.store(true, atomic::Ordering::Release);
        }
        effect
    }

    /// Records the failure of an attempt, so that a failing host gets fewer requests before its
    /// heartbeats show the failure. Refusals and timeouts don't count.
    pub(crate) fn record_failure(
        &self,
        host: lift_types::HostId,
        failure: lift_route::AttemptFailure,
    ) {
        match failure {
            lift_route::AttemptFailure::Damaged => {
                let now = time::Instant::now();
                self.members
                    .with(&host, |members| members.record_damaged_answer(now, host));
            }
            lift_route::AttemptFailure::NotSent
            | lift_route::AttemptFailure::ConnectionLost
            | lift_route::AttemptFailure::BackendEnded
            | lift_route::AttemptFailure::ConnectionSilent => {
                self.members
                    .with(&host, |members| members.mark_suspected(host));
                self.is_changed.store(true, atomic::Ordering::Release);
            }
            lift_route::AttemptFailure::Refused(_) | lift_route::AttemptFailure::Timeout => {}
        }
    }

    pub(crate) fn routing_table(&self) -> sync::Arc<routing_table::RoutingTable> {
        sync::Arc::clone(&self.routing_table.read())
    }

    /// Returns the latest report of a live host, even if the host is leaving.
    pub(crate) fn find(&self, host: lift_types::HostId) -> Option<lift_route::HostReport> {
        self.members.with(&host, |members| {
            members.find(host).map(|member| member.report.clone())
        })
    }

    pub(crate) fn live_agents(&self) -> Vec<live_agent::LiveAgent> {
        self.members.fold(Vec::new(), |mut all, members| {
            all.extend(members.members().map(|member| live_agent(&member.report)));
            all
        })
    }

    /// Removes silent hosts and keeps the routing table up to date until `stopped` is cancelled.
    pub(crate) async fn maintain(
        self: sync::Arc<Self>,
        counters: sync::Arc<lift_obs::Counters>,
        logger: slog::Logger,
        stopped: tokio_util::sync::CancellationToken,
    ) {
        let mut checks = 0;
        loop {
            tokio::select! {
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
                () = stopped.cancelled() => return,
            }
            let now = time::Instant::now();
            let mut removed = Vec::new();
            self.members
                .for_each(|members| removed.extend(members.expire(now)));
            for host in &removed {
                counters.increment("entry.host_removed");
                slog::warn!(logger, "host removed"; "host" => host, "reason" => "silent");
            }
            checks += 1;
            let is_changed = self.is_changed.swap(false, atomic::Ordering::AcqRel);
            if is_changed || !removed.is_empty() || checks >= CHECKS_PER_REBUILD {
                checks = 0;
                self.rebuild();
            }
        }
    }

    fn rebuild(&self) {
        let mut routing_table = routing_table::RoutingTable::default();
        self.members.for_each(|members| {
            for member in members.members() {
                let Some(candidate) = lift_route::Candidate::from_member(member) else {
                    continue;
                };
                for service in &member.report.services {
                    let hosts = routing_table.services.entry(service.clone()).or_default();
                    hosts.insert(&self.region, candidate.clone());
                }
            }
        });
        *self.routing_table.write() = sync::Arc::new(routing_table);
    }
}

fn live_agent(report: &lift_route::HostReport) -> live_agent::LiveAgent {
    let peer = report
        .chunk_addr
        .map(|chunk_addr| lift_transfer::SwarmPeer {
            location: report.location.clone(),
            incarnation: report.incarnation,
            chunk_addr,
        });
    live_agent::LiveAgent {
        location: report.location.clone(),
        incarnation: report.incarnation,
        state: report.state,
        serving: report.serving.clone(),
        services: report.services.clone(),
        in_progress: report.in_progress,
        peer,
    }
}
