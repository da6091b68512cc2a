//! What the parts of an entry share.

use std::{sync, sync::atomic, time};

use crate::{admission, directory, entry_limits, host_loads, links, workspace_state};

/// Workspaces in one shard above which idle ones are forgotten.
const MAX_WORKSPACES: usize = 1_024;

/// Idle time after which a workspace may be forgotten.
const IDLE: time::Duration = time::Duration::from_secs(60);

/// Prefixes in one shard. Above it the shard is emptied, which costs one miss for each.
const MAX_PREFIXES: usize = 4_096;

type Workspaces = lift_shard::Shards<
    indexmap::IndexMap<lift_types::WorkspaceId, workspace_state::WorkspaceState>,
>;

/// Parts that live as long as the entry.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) location: lift_types::Location,
    pub(crate) keys: sync::Arc<lift_wire::LinkKeys>,
    pub(crate) control: sync::Arc<dyn lift_rpc::ControlPort>,
    pub(crate) policy: tokio::sync::watch::Receiver<lift_types::PolicyView>,
    pub(crate) platform: sync::Arc<dyn lift_border::Platform>,
    pub(crate) limits: entry_limits::EntryLimits,
    pub(crate) directory: sync::Arc<directory::Directory>,
    pub(crate) links: links::Links,
    pub(crate) loads: sync::Arc<host_loads::HostLoads>,
    pub(crate) admission: sync::Arc<admission::Admission>,
    pub(crate) workspaces: Workspaces,
    /// Host that answered a prefix last, by hash of the prefix.
    pub(crate) prefixes: lift_shard::Shards<indexmap::IndexMap<u64, lift_types::HostId>>,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    pub(crate) logger: slog::Logger,
    pub(crate) next_id: atomic::AtomicU64,
    pub(crate) is_draining: atomic::AtomicBool,
    pub(crate) stopped: tokio_util::sync::CancellationToken,
}

impl Shared {
    /// Makes an identifier that no other request of this process has.
    pub(crate) fn next_id(&self) -> lift_types::RequestId {
        self.next_id.fetch_add(1, atomic::Ordering::Relaxed)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(atomic::Ordering::Acquire)
    }

    /// Whether new work is taken.
    pub(crate) fn readiness(&self) -> Result<(), lift_types::RefusalReason> {
        if self.is_draining() {
            return Err(lift_types::RefusalReason::Draining);
        }
        if !self.policy.borrow().is_confirmed(time::Instant::now()) {
            return Err(lift_types::RefusalReason::ConfigUnconfirmed);
        }
        Ok(())
    }

    /// Calls `f` with the state of a workspace.
    pub(crate) fn with_workspace<R>(
        &self,
        workspace: &lift_types::WorkspaceId,
        limits: &lift_types::WorkspaceLimits,
        f: impl FnOnce(&mut workspace_state::WorkspaceState) -> R,
    ) -> R {
        let now = time::Instant::now();
        self.workspaces.with(workspace, |states| {
            if !states.contains_key(workspace) {
                if states.len() >= MAX_WORKSPACES {
                    states.retain(|_, state| now.duration_since(state.used_at) < IDLE);
                }
                if states.len() >= MAX_WORKSPACES {
                    states.swap_remove_index(0);
                }
                let state = workspace_state::WorkspaceState::new(now, limits);
                states.insert(workspace.clone(), state);
            }
            let state = &mut states[workspace];
            state.used_at = now;
            f(state)
        })
    }

    /// Host that answered `prefix` last.
    pub(crate) fn prefix_host(&self, prefix: u64) -> Option<lift_types::HostId> {
        self.prefixes
            .with(&prefix, |hosts| hosts.get(&prefix).copied())
    }

    pub(crate) fn set_prefix_host(&self, prefix: u64, host: lift_types::HostId) {
        self.prefixes.with(&prefix, |hosts| {
            if hosts.len() >= MAX_PREFIXES {
                hosts.clear();
            }
            hosts.insert(prefix, host);
        });
    }

    /// Chooses a host of a service.
    pub(crate) fn choose(
        &self,
        service: &lift_types::ServiceId,
        req: &lift_route::HostCriteria,
    ) -> Option<lift_route::Candidate> {
        let routes = self.directory.routes();
        let hosts = routes.services.get(service)?;
        let choice = lift_route::HostSelector::new(hosts, time::Instant::now());
        let in_flight = |host| self.loads.at(host);
        choice.select(req, &in_flight, &mut rand::rng()).cloned()
    }
}
