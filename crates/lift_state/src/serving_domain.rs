//! The hosts of one failure domain, as the activation gate sees them.

use std::time;

use crate::{activation_request, gate_decision};

/// Time after which a host that has to wait asks again. Hosts switch within seconds, so a
/// short time costs little and keeps the rollout going.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(100);

#[derive(Clone, Debug)]
struct Member {
    incarnation: lift_types::Incarnation,
    /// End of what is known of the host: of its lease, plus the margin.
    until: time::Instant,
    serving: Option<lift_types::ServingVersion>,
    /// Whether the host has served a version or asked to, and so counts for the floor.
    is_replica: bool,
    grant: Option<Grant>,
}

/// A switch in progress.
#[derive(Clone, Copy, Debug)]
struct Grant {
    fencing: Option<lift_types::FencingToken>,
    until: time::Instant,
}

/// Live hosts of one failure domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServingDomain {
    members: indexmap::IndexMap<lift_types::HostId, Member>,
}

impl ServingDomain {
    /// Decides whether the host may leave its version. `until` ends the grant.
    pub(crate) fn decide(
        &mut self,
        now: time::Instant,
        until: time::Instant,
        req: &activation_request::ActivationRequest,
        floor_percent: u8,
    ) -> gate_decision::GateDecision {
        self.members.retain(|_, member| member.until > now);
        let Some(member) = self.members.get_mut(&req.place.host) else {
            return gate_decision::GateDecision::NoLease;
        };
        if member.incarnation != req.incarnation {
            return gate_decision::GateDecision::NoLease;
        }
        member.is_replica = true;
        if req.serving.is_none() {
            member.serving = None;
        }
        let costs_nothing = !member.is_in_service(now);
        if !costs_nothing && !self.has_spare(now, floor_percent) {
            return gate_decision::GateDecision::Wait {
                retry_after: RETRY_AFTER,
            };
        }
        if let Some(member) = self.members.get_mut(&req.place.host) {
            let fencing = None;
            member.grant = Some(Grant { fencing, until });
        }
        gate_decision::GateDecision::Grant
    }

    /// Notes what a host reports until the end of its lease. A later incarnation replaces
    /// an earlier one.
    pub(crate) fn observe(
        &mut self,
        now: time::Instant,
        until: time::Instant,
        host: lift_types::HostId,
        incarnation: lift_types::Incarnation,
        serving: Option<&lift_types::ServingVersion>,
    ) {
        let known = self.members.get(&host).filter(|m| m.until > now);
        if known.is_some_and(|m| m.incarnation > incarnation) {
            return;
        }
        let was_replica = known.is_some_and(|m| m.is_replica);
        let grant = known
            .filter(|m| m.incarnation == incarnation)
            .and_then(|m| m.grant)
            .filter(|grant| !grant.has_ended(now, serving));
        let member = Member {
            incarnation,
            until,
            serving: serving.cloned(),
            is_replica: was_replica || serving.is_some(),
            grant,
        };
        self.members.insert(host, member);
    }

    /// Notes the fencing token of a grant.
    pub(crate) fn confirm(
        &mut self,
        host: lift_types::HostId,
        incarnation: lift_types::Incarnation,
        fencing: lift_types::FencingToken,
    ) {
        if let Some(grant) = self.grant_of(host, incarnation) {
            grant.fencing = Some(fencing);
        }
    }

    /// Takes a grant back that was never sent.
    pub(crate) fn cancel(
        &mut self,
        host: lift_types::HostId,
        incarnation: lift_types::Incarnation,
    ) {
        let member = self.members.get_mut(&host);
        if let Some(member) = member.filter(|m| m.incarnation == incarnation) {
            member.grant = None;
        }
    }

    /// Number of hosts in service and of all that count for the floor.
    pub(crate) fn counts(&self, now: time::Instant) -> (usize, usize) {
        let replicas = self
            .members
            .values()
            .filter(|m| m.until > now && m.is_replica);
        let in_service = replicas.clone().filter(|m| m.is_in_service(now)).count();
        (in_service, replicas.count())
    }

    fn has_spare(&self, now: time::Instant, floor_percent: u8) -> bool {
        let (in_service, replicas) = self.counts(now);
        in_service > floor_hosts(replicas, floor_percent)
    }

    fn grant_of(
        &mut self,
        host: lift_types::HostId,
        incarnation: lift_types::Incarnation,
    ) -> Option<&mut Grant> {
        let member = self.members.get_mut(&host)?;
        if member.incarnation != incarnation {
            return None;
        }
        member.grant.as_mut()
    }
}

impl Member {
    fn is_in_service(&self, now: time::Instant) -> bool {
        self.serving.is_some() && self.grant.is_none_or(|grant| grant.until <= now)
    }
}

impl Grant {
    /// A grant ends when the engine has confirmed its order or a later one, or with its
    /// time. What the host serves then decides whether it is in service.
    fn has_ended(&self, now: time::Instant, serving: Option<&lift_types::ServingVersion>) -> bool {
        let confirmed = match (self.fencing, serving) {
            (Some(fencing), Some(serving)) => serving.fencing >= fencing,
            _ => false,
        };
        confirmed || self.until <= now
    }
}

/// Hosts that must stay in service. Below 100% one host may always switch; otherwise a
/// failure domain with a single host could never get a new version.
fn floor_hosts(replicas: usize, percent: u8) -> usize {
    if percent >= 100 {
        return replicas;
    }
    let floor = (replicas * usize::from(percent)).div_ceil(100);
    floor.min(replicas.saturating_sub(1))
}
