//! Hosts of one failure domain and their activation grants.

use std::time;

use crate::{activation_request, gate_decision};

/// Retry interval for hosts that have to wait. Hosts switch within seconds, so a short interval
/// keeps the rollout fast at little cost.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(100);

/// Latest report of a host, with its activation grant if it has one.
#[derive(Clone, Debug)]
struct HostStatus {
    incarnation: lift_types::Incarnation,
    /// Time of the report plus the lease duration and the clock margin, even if the host has to
    /// wait for its lease. The status is ignored from then on.
    expires_at: time::Instant,
    serving: Option<lift_types::ServingVersion>,
    /// Whether the host has served a version or requested to load one. Only such hosts count
    /// for the floor.
    is_replica: bool,
    grant: Option<Grant>,
}

/// Permission for a switch in progress.
#[derive(Clone, Copy, Debug)]
struct Grant {
    fencing: Option<lift_types::FencingToken>,
    expires_at: time::Instant,
}

/// Tracks which hosts of one failure domain are in service, and decides which may switch
/// versions.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServingDomain {
    hosts: indexmap::IndexMap<lift_types::HostId, HostStatus>,
}

impl ServingDomain {
    /// Decides whether the host may switch to another version. A grant is valid until
    /// `expires_at`.
    pub(crate) fn decide_activation(
        &mut self,
        now: time::Instant,
        expires_at: time::Instant,
        req: &activation_request::ActivationRequest,
        floor_percent: u8,
    ) -> gate_decision::GateDecision {
        self.hosts.retain(|_, status| status.expires_at > now);
        let Some(status) = self.hosts.get_mut(&req.location.host) else {
            return gate_decision::GateDecision::NoLease;
        };
        if status.incarnation != req.incarnation {
            return gate_decision::GateDecision::NoLease;
        }
        status.is_replica = true;
        if req.serving.is_none() {
            status.serving = None;
        }
        let is_out_of_service = !status.is_in_service(now);
        if !is_out_of_service && !self.is_above_floor(now, floor_percent) {
            return gate_decision::GateDecision::Wait {
                retry_after: RETRY_AFTER,
            };
        }
        if let Some(status) = self.hosts.get_mut(&req.location.host) {
            let fencing = None;
            status.grant = Some(Grant {
                fencing,
                expires_at,
            });
        }
        gate_decision::GateDecision::Grant
    }

    /// Records the report of a host, which is valid until `expires_at`. The report of a later
    /// incarnation replaces that of an earlier one.
    pub(crate) fn record_host(
        &mut self,
        now: time::Instant,
        expires_at: time::Instant,
        host: lift_types::HostId,
        incarnation: lift_types::Incarnation,
        serving: Option<&lift_types::ServingVersion>,
    ) {
        let existing = self
            .hosts
            .get(&host)
            .filter(|status| status.expires_at > now);
        if existing.is_some_and(|status| status.incarnation > incarnation) {
            return;
        }
        let was_replica = existing.is_some_and(|status| status.is_replica);
        let grant = existing
            .filter(|status| status.incarnation == incarnation)
            .and_then(|status| status.grant)
            .filter(|grant| !grant.has_ended(now, serving));
        let status = HostStatus {
            incarnation,
            expires_at,
            serving: serving.cloned(),
            is_replica: was_replica || serving.is_some(),
            grant,
        };
        self.hosts.insert(host, status);
    }

    /// Records the fencing token of a grant.
    pub(crate) fn confirm_grant(
        &mut self,
        host: lift_types::HostId,
        incarnation: lift_types::Incarnation,
        fencing: lift_types::FencingToken,
    ) {
        if let Some(grant) = self.grant_mut(host, incarnation) {
            grant.fencing = Some(fencing);
        }
    }

    /// Revokes a grant that was not sent to the agent.
    pub(crate) fn cancel_grant(
        &mut self,
        host: lift_types::HostId,
        incarnation: lift_types::Incarnation,
    ) {
        let status = self.hosts.get_mut(&host);
        if let Some(status) = status.filter(|status| status.incarnation == incarnation) {
            status.grant = None;
        }
    }

    /// Returns the number of hosts in service, and of all hosts that count for the floor.
    pub(crate) fn replica_counts(&self, now: time::Instant) -> (usize, usize) {
        let replicas = self
            .hosts
            .values()
            .filter(|status| status.expires_at > now && status.is_replica);
        let in_service = replicas
            .clone()
            .filter(|status| status.is_in_service(now))
            .count();
        (in_service, replicas.count())
    }

    fn is_above_floor(&self, now: time::Instant, floor_percent: u8) -> bool {
        let (in_service, replicas) = self.replica_counts(now);
        in_service > min_hosts_in_service(replicas, floor_percent)
    }

    fn grant_mut(
        &mut self,
        host: lift_types::HostId,
        incarnation: lift_types::Incarnation,
    ) -> Option<&mut Grant> {
        let status = self.hosts.get_mut(&host)?;
        if status.incarnation != incarnation {
            return None;
        }
        status.grant.as_mut()
    }
}

impl HostStatus {
    fn is_in_service(&self, now: time::Instant) -> bool {
        self.serving.is_some() && self.grant.is_none_or(|grant| grant.expires_at <= now)
    }
}

impl Grant {
    /// Whether the engine has confirmed the load order of the grant or a later one, or the grant
    /// has expired. From then on, the host is in service if it reports a version.
    fn has_ended(&self, now: time::Instant, serving: Option<&lift_types::ServingVersion>) -> bool {
        let confirmed = match (self.fencing, serving) {
            (Some(fencing), Some(serving)) => serving.fencing >= fencing,
            _ => false,
        };
        confirmed || self.expires_at <= now
    }
}

/// Computes the number of hosts that must stay in service. Below 100%, at least one host may be
/// out of service; otherwise a failure domain with a single host could never load a new version.
fn min_hosts_in_service(replicas: usize, percent: u8) -> usize {
    if percent >= 100 {
        return replicas;
    }
    let floor = (replicas * usize::from(percent)).div_ceil(100);
    floor.min(replicas.saturating_sub(1))
}
