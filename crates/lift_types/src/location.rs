//! Location of a host.

use crate::{failure_domain_id, host_id, region_id};

/// Region, failure domain and id of a host. Scopes of exceptions are matched against it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Location {
    /// Region of the host.
    pub region: region_id::RegionId,
    /// Failure domain of the host, within the region.
    pub failure_domain: failure_domain_id::FailureDomainId,
    /// Id of the host.
    pub host: host_id::HostId,
}
