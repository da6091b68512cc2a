//! The default policy of the fleet.

use crate::{service_id, service_policy, transfer_goal, version_id, workspace_limits};

/// Settings of the whole fleet that apply where no exception does.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyDefault {
    /// Target version of all model replicas, once one is set.
    pub version: Option<version_id::VersionId>,
    /// Percentage of replicas of each failure domain that must stay in service while hosts
    /// switch versions.
    pub activation_floor_percent: u8,
    /// Whether transfers save time or origin bytes.
    pub transfer_goal: transfer_goal::TransferGoal,
    /// Limits of each workspace without an exception.
    pub limits: workspace_limits::WorkspaceLimits,
    /// Services that callers can address, with their policies.
    pub services: indexmap::IndexMap<service_id::ServiceId, service_policy::ServicePolicy>,
}

impl Default for PolicyDefault {
    fn default() -> Self {
        Self {
            version: None,
            activation_floor_percent: 50,
            transfer_goal: transfer_goal::TransferGoal::Time,
            limits: workspace_limits::WorkspaceLimits::default(),
            services: indexmap::IndexMap::new(),
        }
    }
}
