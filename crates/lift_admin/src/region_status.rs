//! State of the rollout in one region.

use crate::{fleet_member, held_hosts, lagging_host};

/// Which replicas of a region follow the default, are held by an exception, or lag.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RegionStatus {
    /// The region.
    pub region: lift_types::RegionId,
    /// Model replicas.
    pub replicas: u32,
    /// Replicas that serve the version that the policy asks for at their location.
    pub serving: u32,
    /// Replicas that follow the default version and serve it.
    pub following: u32,
    /// Replicas whose version an exception decides, per exception.
    pub held: Vec<held_hosts::HeldHosts>,
    /// Replicas that do not serve the version that the policy asks for, by host.
    pub lagging: Vec<lagging_host::LaggingHost>,
}

impl RegionStatus {
    /// Starts with no replica.
    pub(crate) fn new(region: &str) -> Self {
        Self {
            region: String::from(region),
            replicas: 0,
            serving: 0,
            following: 0,
            held: Vec::new(),
            lagging: Vec::new(),
        }
    }

    /// Counts a replica.
    pub(crate) fn add(&mut self, policy: &lift_types::Policy, member: &fleet_member::FleetMember) {
        let wanted = policy.version_at(&member.location);
        let serves_wanted = wanted.is_some() && member.serving.as_ref() == wanted;
        let exception = policy.version_exception_at(&member.location);
        self.replicas += 1;
        if let Some(exception) = exception {
            self.add_held(exception);
        }
        if !serves_wanted {
            self.add_lagging(wanted, member);
            return;
        }
        self.serving += 1;
        if exception.is_none() {
            self.following += 1;
        }
    }

    fn add_held(&mut self, exception: &lift_types::PolicyException) {
        if let Some(held) = self.held.iter_mut().find(|h| h.exception == exception.id) {
            held.hosts += 1;
            return;
        }
        self.held.push(held_hosts::HeldHosts::new(exception));
    }

    fn add_lagging(
        &mut self,
        wanted: Option<&lift_types::VersionId>,
        member: &fleet_member::FleetMember,
    ) {
        self.lagging.push(lagging_host::LaggingHost {
            host: member.location.host,
            serving: member.serving.clone(),
            wanted: wanted.cloned(),
        });
        self.lagging.sort_by_key(|lagging| lagging.host);
    }
}
