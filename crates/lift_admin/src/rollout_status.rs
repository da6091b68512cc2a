//! State of the rollout.

use crate::{fleet_member, region_status};

/// How far the fleet has followed the policy, per region.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RolloutStatus {
    /// Revision of the policy.
    pub revision: lift_types::Revision,
    /// Default version.
    pub version: Option<lift_types::VersionId>,
    /// Model replicas.
    pub replicas: u32,
    /// Model replicas that serve the version that the policy asks for at their location.
    pub serving: u32,
    /// Regions with model replicas, by name.
    pub regions: Vec<region_status::RegionStatus>,
}

impl RolloutStatus {
    /// Compares what `members` serve with what `policy` asks for. Plain services have no
    /// version and do not count.
    pub fn of(policy: &lift_types::Policy, members: &[fleet_member::FleetMember]) -> Self {
        let mut regions = indexmap::IndexMap::new();
        let replicas = members
            .iter()
            .filter(|m| m.kind == lift_types::ServiceKind::Model);
        for member in replicas {
            let region = member.location.region.as_str();
            let status = regions
                .entry(region)
                .or_insert_with(|| region_status::RegionStatus::new(region));
            status.add(policy, member);
        }
        regions.sort_keys();
        let regions: Vec<_> = regions.into_values().collect();
        Self {
            revision: policy.revision,
            version: policy.default.version.clone(),
            replicas: regions.iter().map(|r| r.replicas).sum(),
            serving: regions.iter().map(|r| r.serving).sum(),
            regions,
        }
    }
}
