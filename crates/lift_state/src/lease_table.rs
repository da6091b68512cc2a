//! Leases of agents, in the memory of the leader.

use std::{collections, time};

use crate::{activation_request, gate_decision, lease_renewal, lease_reply, serving_domain};

/// Part of a lease by which the leader holds it for longer than the agent, against a
/// difference in the speed of their clocks.
const MARGIN_DIVISOR: u32 = 20;

/// Shards of leases and of failure domains. There are 15 failure domains at the size of
/// design section 1.6.
const SHARDS: usize = 32;

#[derive(Clone, Copy, Debug)]
struct Lease {
    incarnation: lift_types::Incarnation,
    until: time::Instant,
}

/// Live leases of one leader and the activation gate on top of them. A new leader makes a
/// new table, since leases are kept in memory only. Leases are in shards by host, so that a
/// host that moves to another failure domain keeps its one lease; what the gate needs is in
/// shards by failure domain.
#[derive(Debug)]
pub struct LeaseTable {
    lease: time::Duration,
    opens_at: time::Instant,
    leases: lift_shard::Shards<collections::HashMap<lift_types::HostId, Lease>>,
    domains: lift_shard::Shards<
        collections::HashMap<lift_types::FailureDomainId, serving_domain::ServingDomain>,
    >,
}

impl LeaseTable {
    /// Starts a table in which leases last for `lease`. Nothing is granted before
    /// `opens_at`; see [`LeaseTable::wait_of`].
    pub fn new(lease: time::Duration, opens_at: time::Instant) -> Self {
        Self {
            lease,
            opens_at,
            leases: lift_shard::Shards::new(SHARDS, |_| collections::HashMap::new()),
            domains: lift_shard::Shards::new(SHARDS, |_| collections::HashMap::new()),
        }
    }

    /// Time for which a new leader waits, so that all leases and grants of the leader
    /// before have ended.
    pub fn wait_of(lease: time::Duration) -> time::Duration {
        lease + lease / MARGIN_DIVISOR
    }

    /// Renews a lease. `registered` is the current incarnation of the host in the state.
    pub fn renew(
        &self,
        now: time::Instant,
        renewal: &lease_renewal::LeaseRenewal,
        registered: lift_types::Incarnation,
    ) -> lease_reply::LeaseReply {
        let host = renewal.place.host;
        if registered > renewal.incarnation {
            return lease_reply::LeaseReply::Superseded { by: registered };
        }
        let reply = self.leases.with(&host, |leases| {
            self.renew_in(leases, now, host, renewal.incarnation)
        });
        if matches!(reply, lease_reply::LeaseReply::Superseded { .. }) {
            return reply;
        }
        // A host that waits is known to the gate too, so that a new leader knows what is
        // in service when it begins to grant.
        let until = now + Self::wait_of(self.lease);
        self.domains.with(&renewal.place.failure_domain, |domains| {
            let domain = domains
                .entry(renewal.place.failure_domain.clone())
                .or_default();
            let serving = renewal.serving.as_ref();
            domain.observe(now, until, host, renewal.incarnation, serving);
        });
        reply
    }

    /// Decides whether a host may leave its version. After [`gate_decision::GateDecision::Grant`]
    /// the host counts as out of service; call [`LeaseTable::confirm`] or
    /// [`LeaseTable::cancel`].
    pub fn decide(
        &self,
        now: time::Instant,
        req: &activation_request::ActivationRequest,
        policy: &lift_types::Policy,
    ) -> gate_decision::GateDecision {
        let wanted = policy.version_at(&req.place);
        if wanted != Some(&req.version) {
            let wanted = wanted.cloned();
            return gate_decision::GateDecision::NotWanted { wanted };
        }
        if now < self.opens_at {
            let retry_after = self.opens_at - now;
            return gate_decision::GateDecision::Wait { retry_after };
        }
        if !self.is_live(now, req.place.host, req.incarnation) {
            return gate_decision::GateDecision::NoLease;
        }
        let percent = policy.activation_floor_percent_at(&req.place);
        let until = now + Self::wait_of(self.lease);
        self.domains.with(&req.place.failure_domain, |domains| {
            match domains.get_mut(&req.place.failure_domain) {
                Some(domain) => domain.decide(now, until, req, percent),
                None => gate_decision::GateDecision::NoLease,
            }
        })
    }

    /// Notes the fencing token of a grant, by which its end is recognised.
    pub fn confirm(
        &self,
        req: &activation_request::ActivationRequest,
        fencing: lift_types::FencingToken,
    ) {
        self.domains.with(&req.place.failure_domain, |domains| {
            if let Some(domain) = domains.get_mut(&req.place.failure_domain) {
                domain.confirm(req.place.host, req.incarnation, fencing);
            }
        });
    }

    /// Takes a grant back whose answer was not sent.
    pub fn cancel(&self, req: &activation_request::ActivationRequest) {
        self.domains.with(&req.place.failure_domain, |domains| {
            if let Some(domain) = domains.get_mut(&req.place.failure_domain) {
                domain.cancel(req.place.host, req.incarnation);
            }
        });
    }

    /// Number of hosts of a failure domain that are in service, and of those that count for
    /// its floor.
    pub fn counts(&self, now: time::Instant, domain: &str) -> (usize, usize) {
        self.domains.with(domain, |domains| {
            domains.get(domain).map_or((0, 0), |d| d.counts(now))
        })
    }

    /// Time of a lease and of a grant, counted from when the agent sent its request.
    pub fn lease(&self) -> time::Duration {
        self.lease
    }

    fn renew_in(
        &self,
        leases: &mut collections::HashMap<lift_types::HostId, Lease>,
        now: time::Instant,
        host: lift_types::HostId,
        incarnation: lift_types::Incarnation,
    ) -> lease_reply::LeaseReply {
        let live = leases.get(&host).filter(|lease| lease.until > now);
        if let Some(lease) = live {
            if lease.incarnation > incarnation {
                let by = lease.incarnation;
                return lease_reply::LeaseReply::Superseded { by };
            }
            if lease.incarnation < incarnation {
                return self.wait(now, lease.until);
            }
        }
        if now < self.opens_at {
            return self.wait(now, self.opens_at);
        }
        let until = now + Self::wait_of(self.lease);
        leases.insert(host, Lease { incarnation, until });
        lease_reply::LeaseReply::Renewed {
            valid_for: self.lease,
        }
    }

    /// The agent asks again at the usual rate, so that what it serves stays known.
    fn wait(&self, now: time::Instant, end: time::Instant) -> lease_reply::LeaseReply {
        lease_reply::LeaseReply::Wait {
            retry_after: (end - now).min(self.lease / 3),
        }
    }

    fn is_live(
        &self,
        now: time::Instant,
        host: lift_types::HostId,
        incarnation: lift_types::Incarnation,
    ) -> bool {
        self.leases.with(&host, |leases| {
            let lease = leases.get(&host);
            lease.is_some_and(|l| l.incarnation == incarnation && l.until > now)
        })
    }
}
