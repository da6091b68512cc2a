//! Directory of agents.

use std::{sync, sync::atomic, time};

use crate::{live_agent, routes};

/// Number of shards of the directory.
const SHARDS: usize = 16;

/// Time between two looks at the directory for changes.
const REBUILD_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Looks after which the snapshot is rebuilt without a change, for the load reports.
const LOOKS_PER_REFRESH: u32 = 10;

/// Live agents, from their heartbeats.
#[derive(Debug)]
pub(crate) struct Directory {
    region: lift_types::RegionId,
    members: lift_shard::Shards<lift_route::Membership>,
    routes: parking_lot::RwLock<sync::Arc<routes::Routes>>,
    is_changed: atomic::AtomicBool,
}

impl Directory {
    pub(crate) fn new(region: lift_types::RegionId) -> Self {
        Self {
            region,
            members: lift_shard::Shards::new(SHARDS, |_| lift_route::Membership::new()),
            routes: parking_lot::RwLock::default(),
            is_changed: atomic::AtomicBool::new(false),
        }
    }

    pub(crate) fn observe(
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

    /// Takes the end of an attempt into account, so that a host that fails gets less work
    /// before its heartbeats tell.
    pub(crate) fn observe_end(&self, host: lift_types::HostId, end: lift_route::AttemptFailure) {
        match end {
            lift_route::AttemptFailure::Damaged => {
                let now = time::Instant::now();
                self.members
                    .with(&host, |members| members.record_damaged_answer(now, host));
            }
            lift_route::AttemptFailure::NotSent
            | lift_route::AttemptFailure::ConnectionLost
            | lift_route::AttemptFailure::ConnectionSilent => {
                self.members
                    .with(&host, |members| members.mark_suspected(host));
                self.is_changed.store(true, atomic::Ordering::Release);
            }
            lift_route::AttemptFailure::Refused(_) | lift_route::AttemptFailure::Timeout => {}
        }
    }

    pub(crate) fn routes(&self) -> sync::Arc<routes::Routes> {
        sync::Arc::clone(&self.routes.read())
    }

    /// Finds a live host, also one that leaves.
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

    /// Removes silent hosts and keeps the snapshot current until `stopped`.
    pub(crate) async fn maintain(
        self: sync::Arc<Self>,
        counters: sync::Arc<lift_obs::Counters>,
        logger: slog::Logger,
        stopped: tokio_util::sync::CancellationToken,
    ) {
        let mut looks = 0;
        loop {
            tokio::select! {
                () = tokio::time::sleep(REBUILD_INTERVAL) => {}
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
            looks += 1;
            let is_changed = self.is_changed.swap(false, atomic::Ordering::AcqRel);
            if is_changed || !removed.is_empty() || looks >= LOOKS_PER_REFRESH {
                looks = 0;
                self.rebuild();
            }
        }
    }

    fn rebuild(&self) {
        let mut routes = routes::Routes::default();
        self.members.for_each(|members| {
            for member in members.members() {
                let Some(candidate) = lift_route::Candidate::from_member(member) else {
                    continue;
                };
                for service in &member.report.services {
                    let hosts = routes.services.entry(service.clone()).or_default();
                    hosts.insert(&self.region, candidate.clone());
                }
            }
        });
        *self.routes.write() = sync::Arc::new(routes);
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
