//! Shared state of an entry.

use std::{sync, sync::atomic, time};

use crate::{
    admission, directory, entry_limits, host_loads, links, request_guard, workspace_state,
};

/// Maximum number of workspaces in one shard. At the limit, idle workspaces are removed, or an
/// arbitrary one if none is idle.
const MAX_WORKSPACES_PER_SHARD: usize = 1_024;

/// Time without requests after which a workspace may be removed.
const WORKSPACE_IDLE_TIME: time::Duration = time::Duration::from_secs(60);

/// Maximum number of prefixes in one shard. At the limit the shard is cleared, which costs one
/// miss for each prefix.
const MAX_PREFIXES_PER_SHARD: usize = 4_096;

type Workspaces = lift_shard::Shards<
    indexmap::IndexMap<lift_types::WorkspaceId, workspace_state::WorkspaceState>,
>;

/// State that the tasks and requests of one entry share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) location: lift_types::Location,
    pub(crate) keys: sync::Arc<lift_wire::LinkKeys>,
    pub(crate) control: sync::Arc<dyn lift_rpc::ControlPort>,
    pub(crate) policy: tokio::sync::watch::Receiver<lift_types::PolicyView>,
    pub(crate) platform: sync::Arc<dyn lift_border::Platform>,
    pub(crate) limits: entry_limits::EntryLimits,
    /// Memory of the bodies of requests in progress.
    pub(crate) budget: sync::Arc<lift_listen::ByteBudget>,
    pub(crate) directory: sync::Arc<directory::Directory>,
    pub(crate) links: links::Links,
    pub(crate) loads: sync::Arc<host_loads::HostLoads>,
    pub(crate) admission: sync::Arc<admission::Admission>,
    /// Keeps requests that end backend servers from them.
    pub(crate) guard: request_guard::RequestGuard,
    pub(crate) workspaces: Workspaces,
    /// Host that last answered a request with a prefix, by hash of the prefix.
    pub(crate) prefixes: lift_shard::Shards<indexmap::IndexMap<u64, lift_types::HostId>>,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    pub(crate) logger: slog::Logger,
    pub(crate) next_id: atomic::AtomicU64,
    pub(crate) is_draining: atomic::AtomicBool,
    /// Cancelled shortly before a graceful stop ends, when requests without an answer are given up.
    pub(crate) giving_up: tokio_util::sync::CancellationToken,
    pub(crate) stopped: tokio_util::sync::CancellationToken,
}

impl Shared {
    /// Returns an id that is unique among the requests of this process.
    pub(crate) fn next_id(&self) -> lift_types::RequestId {
        self.next_id.fetch_add(1, atomic::Ordering::Relaxed)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(atomic::Ordering::Acquire)
    }

    /// Checks that the entry accepts new requests.
    ///
    /// # Errors
    ///
    /// Returns the reason for which new requests are refused: the entry is draining, or its policy
    /// is not confirmed.
    pub(crate) fn readiness(&self) -> Result<(), lift_types::RefusalReason> {
        if self.is_draining() {
            return Err(lift_types::RefusalReason::Draining);
        }
        if !self.policy.borrow().is_confirmed(time::Instant::now()) {
            return Err(lift_types::RefusalReason::ConfigUnconfirmed);
        }
        Ok(())
    }

    /// Calls `f` with the state of a workspace, which is created if it does not exist.
    pub(crate) fn with_workspace<R>(
        &self,
        workspace: &lift_types::WorkspaceId,
        limits: &lift_types::WorkspaceLimits,
        f: impl FnOnce(&mut workspace_state::WorkspaceState) -> R,
    ) -> R {
        let now = time::Instant::now();
        self.workspaces.with(workspace, |states| {
            if !states.contains_key(workspace) {
                if states.len() >= MAX_WORKSPACES_PER_SHARD {
                    states.retain(|_, state| {
                        now.duration_since(state.last_used) < WORKSPACE_IDLE_TIME
                    });
                }
                if states.len() >= MAX_WORKSPACES_PER_SHARD {
                    states.swap_remove_index(0);
                }
                let state = workspace_state::WorkspaceState::new(now, limits);
                states.insert(workspace.clone(), state);
            }
            let state = &mut states[workspace];
            state.last_used = now;
            f(state)
        })
    }

    /// Returns the host that last answered a request with `prefix`.
    pub(crate) fn prefix_host(&self, prefix: u64) -> Option<lift_types::HostId> {
        self.prefixes
            .with(&prefix, |hosts| hosts.get(&prefix).copied())
    }

    pub(crate) fn set_prefix_host(&self, prefix: u64, host: lift_types::HostId) {
        self.prefixes.with(&prefix, |hosts| {
            if hosts.len() >= MAX_PREFIXES_PER_SHARD {
                hosts.clear();
            }
            hosts.insert(prefix, host);
        });
    }

    /// Selects a host of a service, or returns `None` if no host meets the criteria.
    pub(crate) fn select_host(
        &self,
        service: &lift_types::ServiceId,
        criteria: &lift_route::HostCriteria,
    ) -> Option<lift_route::Candidate> {
        let table = self.directory.routing_table();
        let hosts = table.services.get(service)?;
        let selector = lift_route::HostSelector::new(hosts, time::Instant::now());
        let in_flight = |host| self.loads.in_flight(host);
        selector
            .select(criteria, &in_flight, &mut rand::rng())
            .cloned()
    }
}
