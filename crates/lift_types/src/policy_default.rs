//! The default policy of the fleet.

use crate::{service_id, service_policy, transfer_goal, version_id, workspace_limits};

/// What holds for the whole fleet where no exception applies.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyDefault {
    /// Version that all model replicas serve, once one is set.
    pub version: Option<version_id::VersionId>,
    /// Percentage of replicas of each failure domain that stay in service while hosts switch.
    pub activation_floor_percent: u8,
    /// Weight of time against origin bytes.
    pub transfer_goal: transfer_goal::TransferGoal,
    /// Limits of each workspace without an exception.
    pub limits: workspace_limits::WorkspaceLimits,
    /// Known services.
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
