//! Stand-in of the control operations.

use std::{sync, time};

use tokio::sync as tokio_sync;

/// Share of the lease after which another agent of the same host gets one.
const RETRY: time::Duration = time::Duration::from_millis(20);

/// Time of a lease and of a grant.
const LEASE: time::Duration = time::Duration::from_secs(120);

/// Control operations in memory: policy, manifests, incarnations, leases, grants under the
/// activation floor, and the view of the swarm over all agents that were added. It has no
/// log and one copy, so it is for tests of other parts only.
#[derive(Debug)]
pub struct ControlStandin {
    state: parking_lot::Mutex<State>,
    policy: tokio_sync::watch::Sender<lift_types::PolicyView>,
}

#[derive(Debug, Default)]
struct State {
    manifests: indexmap::IndexMap<lift_types::VersionId, lift_types::Manifest>,
    hosts: indexmap::IndexMap<lift_types::HostId, Host>,
    peers: indexmap::IndexMap<lift_types::HostId, lift_transfer::SwarmPeer>,
    /// Homes for each version among the agents that want it.
    homes: indexmap::IndexMap<lift_types::VersionId, sync::Arc<lift_transfer::HomeTable>>,
    fencing: lift_types::FencingToken,
    incarnation: lift_types::Incarnation,
    /// Whether renewals and grants fail, as without a leader.
    withholds_leases: bool,
}

#[derive(Debug)]
struct Host {
    location: lift_types::Location,
    incarnation: lift_types::Incarnation,
    serving: Option<lift_types::VersionId>,
    /// Version of the last grant, until the host reports that it serves it.
    switching: Option<lift_types::VersionId>,
}

type Result<T> = std::result::Result<T, error_stack::Report<lift_rpc::ControlError>>;

impl ControlStandin {
    /// Starts with an empty policy, which is always confirmed.
    pub fn new() -> Self {
        Self {
            state: parking_lot::Mutex::default(),
            policy: tokio_sync::watch::channel(view(lift_types::Policy::default())).0,
        }
    }

    /// Changes the policy, raises its revision and confirms it.
    pub fn set_policy(&self, change: impl FnOnce(&mut lift_types::Policy)) {
        self.policy.send_modify(|current| {
            let mut policy = lift_types::Policy::clone(&current.policy);
            change(&mut policy);
            policy.revision += 1;
            *current = view(policy);
        });
        self.state.lock().homes.clear();
    }

    /// Adds an agent to the views.
    pub fn add_peer(&self, peer: lift_transfer::SwarmPeer) {
        let mut state = self.state.lock();
        state.peers.insert(peer.location.host, peer);
        state.homes.clear();
    }

    /// Removes an agent, as an entry does when heartbeats stop.
    pub fn remove_host(&self, host: lift_types::HostId) {
        let mut state = self.state.lock();
        state.peers.shift_remove(&host);
        state.hosts.shift_remove(&host);
        state.homes.clear();
    }

    /// Sets whether renewals of leases and grants fail, as while control has no leader. Agents
    /// still register, and the policy stays confirmed.
    pub fn withhold_leases(&self, withholds: bool) {
        self.state.lock().withholds_leases = withholds;
    }

    /// Homes among the agents whose policy asks for `version`. A region that is held at
    /// another version would never pass its chunks on.
    fn homes(&self, version: &str) -> sync::Arc<lift_transfer::HomeTable> {
        let policy = self.policy.borrow().policy.clone();
        let mut state = self.state.lock();
        if let Some(homes) = state.homes.get(version) {
            return homes.clone();
        }
        let wants = |peer: &&lift_transfer::SwarmPeer| {
            policy.version_at(&peer.location).map(String::as_str) == Some(version)
        };
        let peers = state.peers.values().filter(wants).cloned().collect();
        let goal = policy.default.transfer_goal;
        let homes = sync::Arc::new(lift_transfer::HomeTable::new(peers, goal));
        state.homes.insert(String::from(version), homes.clone());
        homes
    }

    fn grant(&self, req: &lift_state::ActivationRequest) -> lift_state::ActivationReply {
        let policy = self.policy.borrow().policy.clone();
        let wanted = policy.version_at(&req.location).cloned();
        if wanted.as_ref() != Some(&req.version) {
            return lift_state::ActivationReply::NotTargetVersion { target: wanted };
        }
        let floor = usize::from(policy.activation_floor_percent_at(&req.location));
        let mut state = self.state.lock();
        let is_last = |host: &Host| host.incarnation == req.incarnation;
        if !state.hosts.get(&req.location.host).is_some_and(is_last) {
            return lift_state::ActivationReply::NoLease;
        }
        let domain: Vec<_> = state
            .hosts
            .values()
            .filter(|host| host.location.failure_domain == req.location.failure_domain)
            .collect();
        let serving = |host: &&&Host| host.serving.is_some() && host.switching.is_none();
        let left = domain
            .iter()
            .filter(|host| host.location.host != req.location.host)
            .filter(serving)
            .count();
        // Rounded down, so that the last host of a failure domain can switch.
        if req.serving.is_some() && left < floor * domain.len() / 100 {
            return lift_state::ActivationReply::Wait { retry_after: RETRY };
        }
        state.fencing += 1;
        let fencing = state.fencing;
        if let Some(host) = state.hosts.get_mut(&req.location.host) {
            host.switching = Some(req.version.clone());
        }
        lift_state::ActivationReply::Granted {
            fencing,
            valid_for: LEASE,
        }
    }
}

impl Default for ControlStandin {
    fn default() -> Self {
        Self::new()
    }
}

fn view(policy: lift_types::Policy) -> lift_types::PolicyView {
    // A time in the far future keeps the policy confirmed without a clock task.
    let confirmed_at = time::Instant::now() + time::Duration::from_secs(86_400);
    lift_types::PolicyView {
        policy: sync::Arc::new(policy),
        confirmed_at: Some(confirmed_at),
    }
}

fn unavailable<T>() -> Result<T> {
    Err(error_stack::Report::new(
        lift_rpc::ControlError::Unavailable,
    ))
}

#[async_trait::async_trait]
impl lift_rpc::ControlPort for ControlStandin {
    async fn change(&self, _: lift_state::ConfigChange) -> Result<lift_state::ChangeReply> {
        unavailable()
    }

    async fn publish(&self, manifest: lift_types::Manifest) -> Result<()> {
        let mut state = self.state.lock();
        state.manifests.insert(manifest.version.clone(), manifest);
        Ok(())
    }

    async fn manifest(&self, version: lift_types::VersionId) -> Result<lift_types::Manifest> {
        let found = self.state.lock().manifests.get(&version).cloned();
        found.ok_or_else(|| {
            error_stack::Report::new(lift_rpc::ControlError::Missing { what: version })
        })
    }

    async fn versions(&self) -> Result<Vec<lift_types::VersionId>> {
        Ok(self.state.lock().manifests.keys().cloned().collect())
    }

    async fn register(
        &self,
        registration: lift_state::Registration,
    ) -> Result<lift_types::Incarnation> {
        let mut state = self.state.lock();
        state.incarnation += 1;
        let incarnation = state.incarnation;
        let host = Host {
            location: registration.location.clone(),
            incarnation,
            serving: None,
            switching: None,
        };
        state.hosts.insert(registration.location.host, host);
        Ok(incarnation)
    }

    async fn renew(&self, renewal: lift_state::LeaseRenewal) -> Result<lift_state::LeaseReply> {
        let mut state = self.state.lock();
        if state.withholds_leases {
            return unavailable();
        }
        let Some(host) = state.hosts.get_mut(&renewal.location.host) else {
            return unavailable();
        };
        if host.incarnation != renewal.incarnation {
            let by = host.incarnation;
            return Ok(lift_state::LeaseReply::Superseded { by });
        }
        host.serving = renewal.serving.map(|serving| serving.version);
        if host.serving.is_some() && host.serving == host.switching {
            host.switching = None;
        }
        Ok(lift_state::LeaseReply::Renewed { valid_for: LEASE })
    }

    async fn activate(
        &self,
        req: lift_state::ActivationRequest,
    ) -> Result<lift_state::ActivationReply> {
        if self.state.lock().withholds_leases {
            return unavailable();
        }
        Ok(self.grant(&req))
    }

    async fn claim(&self, _: lift_state::ClaimRequest) -> Result<lift_state::ClaimReply> {
        unavailable()
    }

    async fn find_claim(&self, _: lift_state::ClaimKey) -> Result<Option<lift_state::ClaimReply>> {
        unavailable()
    }

    async fn reassign(&self, _: lift_state::ReassignRequest) -> Result<lift_state::ClaimReply> {
        unavailable()
    }

    async fn record(&self, _: lift_state::RecordRequest) -> Result<lift_state::ClaimReply> {
        unavailable()
    }

    async fn audit(&self, _: lift_types::Revision, _: u32) -> Result<Vec<lift_state::AuditRecord>> {
        unavailable()
    }

    fn watch(&self) -> tokio_sync::watch::Receiver<lift_types::PolicyView> {
        self.policy.subscribe()
    }
}

#[async_trait::async_trait]
impl lift_rpc::SwarmPort for ControlStandin {
    async fn view(&self, req: lift_transfer::SwarmViewRequest) -> Result<lift_transfer::SwarmView> {
        Ok(self.homes(&req.version).view(&req.location))
    }
}
