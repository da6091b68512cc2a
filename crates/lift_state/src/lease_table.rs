//! Agent leases and activation grants, which the leader keeps in memory.

use std::{collections, time};

use crate::{activation_request, gate_decision, lease_renewal, lease_reply, serving_domain};

/// The leader considers a lease valid for longer than the agent does, by the lease duration
/// divided by this number. The margin covers clocks that run at different speeds.
const CLOCK_MARGIN_DIVISOR: u32 = 20;

/// Number of shards for leases and for failure domains. The fleet of design section 1.6 has 15
/// failure domains.
const SHARDS: usize = 32;

#[derive(Clone, Copy, Debug)]
struct Lease {
    incarnation: lift_types::Incarnation,
    expires_at: time::Instant,
}

/// Leases that the leader has granted, and the activation gate, which limits how many hosts of
/// a failure domain switch versions at the same time. Leases are kept in memory only, so a new
/// leader starts with an empty table. They are sharded by host, so that a host that moves to
/// another failure domain keeps its single lease. The state of the gate is sharded by failure
/// domain.
#[derive(Debug)]
pub struct LeaseTable {
    lease_duration: time::Duration,
    grants_from: time::Instant,
    leases: lift_shard::Shards<collections::HashMap<lift_types::HostId, Lease>>,
    domains: lift_shard::Shards<
        collections::HashMap<lift_types::FailureDomainId, serving_domain::ServingDomain>,
    >,
}

impl LeaseTable {
    /// Creates an empty table for leases and activation grants of `lease_duration`, none of
    /// which is issued before `grants_from`. A new leader sets `grants_from` to the start of its
    /// term plus [`LeaseTable::lease_with_margin`], or to the start of its term if no agent has
    /// ever registered.
    pub fn new(lease_duration: time::Duration, grants_from: time::Instant) -> Self {
        Self {
            lease_duration,
            grants_from,
            leases: lift_shard::Shards::new(SHARDS, |_| collections::HashMap::new()),
            domains: lift_shard::Shards::new(SHARDS, |_| collections::HashMap::new()),
        }
    }

    /// Returns the time for which the leader considers a lease or grant valid: its duration plus
    /// a margin for differences in clock speed. A new leader waits for this time, so that all
    /// leases and grants of the previous leader have expired.
    pub fn lease_with_margin(lease_duration: time::Duration) -> time::Duration {
        lease_duration + lease_duration / CLOCK_MARGIN_DIVISOR
    }

    /// Renews a lease, and records the version that the host serves. `registered` is the current
    /// incarnation of the host in the replicated state.
    pub fn renew(
        &self,
        now: time::Instant,
        renewal: &lease_renewal::LeaseRenewal,
        registered: lift_types::Incarnation,
    ) -> lease_reply::LeaseReply {
        let host = renewal.location.host;
        if registered > renewal.incarnation {
            return lease_reply::LeaseReply::Superseded { by: registered };
        }
        let reply = self.leases.with(&host, |leases| {
            self.renew_in_shard(leases, now, host, renewal.incarnation)
        });
        if matches!(reply, lease_reply::LeaseReply::Superseded { .. }) {
            return reply;
        }
        // Records hosts that have to wait as well, so that a new leader knows which hosts are in
        // service when it starts to issue grants.
        let expires_at = now + Self::lease_with_margin(self.lease_duration);
        self.domains
            .with(&renewal.location.failure_domain, |domains| {
                let domain = domains
                    .entry(renewal.location.failure_domain.clone())
                    .or_default();
                let serving = renewal.serving.as_ref();
                domain.record_host(now, expires_at, host, renewal.incarnation, serving);
            });
        reply
    }

    /// Decides whether a host may switch to another version. After
    /// [`gate_decision::GateDecision::Grant`] the host counts as out of service, and the caller
    /// must call [`LeaseTable::confirm_grant`] or [`LeaseTable::cancel_grant`].
    pub fn decide_activation(
        &self,
        now: time::Instant,
        req: &activation_request::ActivationRequest,
        policy: &lift_types::Policy,
    ) -> gate_decision::GateDecision {
        let target = policy.version_at(&req.location);
        if target != Some(&req.version) {
            let target = target.cloned();
            return gate_decision::GateDecision::NotTargetVersion { target };
        }
        if now < self.grants_from {
            let retry_after = self.grants_from - now;
            return gate_decision::GateDecision::Wait { retry_after };
        }
        if !self.has_valid_lease(now, req.location.host, req.incarnation) {
            return gate_decision::GateDecision::NoLease;
        }
        let percent = policy.activation_floor_percent_at(&req.location);
        let expires_at = now + Self::lease_with_margin(self.lease_duration);
        self.domains.with(&req.location.failure_domain, |domains| {
            match domains.get_mut(&req.location.failure_domain) {
                Some(domain) => domain.decide_activation(now, expires_at, req, percent),
                None => gate_decision::GateDecision::NoLease,
            }
        })
    }

    /// Records the fencing token of a grant. The grant ends when the host reports this token or
    /// a later one, or when it expires.
    pub fn confirm_grant(
        &self,
        req: &activation_request::ActivationRequest,
        fencing: lift_types::FencingToken,
    ) {
        self.domains.with(&req.location.failure_domain, |domains| {
            if let Some(domain) = domains.get_mut(&req.location.failure_domain) {
                domain.confirm_grant(req.location.host, req.incarnation, fencing);
            }
        });
    }

    /// Revokes a grant that was not sent to the agent.
    pub fn cancel_grant(&self, req: &activation_request::ActivationRequest) {
        self.domains.with(&req.location.failure_domain, |domains| {
            if let Some(domain) = domains.get_mut(&req.location.failure_domain) {
                domain.cancel_grant(req.location.host, req.incarnation);
            }
        });
    }

    /// Returns the number of hosts of a failure domain that are in service, and the number of
    /// all its replicas, from which the floor is computed.
    pub fn replica_counts(&self, now: time::Instant, domain: &str) -> (usize, usize) {
        self.domains.with(domain, |domains| {
            domains
                .get(domain)
                .map_or((0, 0), |d| d.replica_counts(now))
        })
    }

    /// Returns the duration of a lease or grant, counted from the moment the agent sent its
    /// request.
    pub fn lease_duration(&self) -> time::Duration {
        self.lease_duration
    }

    fn renew_in_shard(
        &self,
        leases: &mut collections::HashMap<lift_types::HostId, Lease>,
        now: time::Instant,
        host: lift_types::HostId,
        incarnation: lift_types::Incarnation,
    ) -> lease_reply::LeaseReply {
        let valid = leases.get(&host).filter(|lease| lease.expires_at > now);
        if let Some(lease) = valid {
            if lease.incarnation > incarnation {
                let by = lease.incarnation;
                return lease_reply::LeaseReply::Superseded { by };
            }
            if lease.incarnation < incarnation {
                return self.wait_reply(now, lease.expires_at);
            }
        }
        if now < self.grants_from {
            return self.wait_reply(now, self.grants_from);
        }
        let expires_at = now + Self::lease_with_margin(self.lease_duration);
        leases.insert(
            host,
            Lease {
                incarnation,
                expires_at,
            },
        );
        lease_reply::LeaseReply::Renewed {
            valid_for: self.lease_duration,
        }
    }

    /// Builds the reply to an agent that must wait until `end`. The agent retries at its usual
    /// renewal rate meanwhile, so that the leader keeps receiving the version that it serves.
    fn wait_reply(&self, now: time::Instant, end: time::Instant) -> lease_reply::LeaseReply {
        lease_reply::LeaseReply::Wait {
            retry_after: (end - now).min(self.lease_duration / 3),
        }
    }

    fn has_valid_lease(
        &self,
        now: time::Instant,
        host: lift_types::HostId,
        incarnation: lift_types::Incarnation,
    ) -> bool {
        self.leases.with(&host, |leases| {
            let lease = leases.get(&host);
            lease.is_some_and(|l| l.incarnation == incarnation && l.expires_at > now)
        })
    }
}
