//! Where a host is.

use crate::{failure_domain_id, host_id, region_id};

/// Region, failure domain and host. Scopes of exceptions are matched against it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Region of the host.
    pub region: region_id::RegionId,
    /// Failure domain of the host, within the region.
    pub failure_domain: failure_domain_id::FailureDomainId,
    /// The host.
    pub host: host_id::HostId,
}
