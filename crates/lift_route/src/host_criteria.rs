//! Criteria for the host of a request.

use crate::candidate;

/// Constraints and preferences for the host of one attempt.
#[derive(Clone, Debug, Default)]
pub struct HostCriteria {
    /// Kind of the service. The host of a model service must serve a version.
    pub kind: lift_types::ServiceKind,
    /// Version that a model service must answer with; `None` allows any version.
    pub version: Option<lift_types::VersionId>,
    /// Hosts that are excluded because an earlier attempt went to them.
    pub tried: Vec<lift_types::HostId>,
    /// Failure domain that is preferred among equally loaded hosts.
    pub failure_domain: Option<lift_types::FailureDomainId>,
    /// Host that answered an earlier request with the same prefix, which the caller names or
    /// which is the beginning of the body.
    pub affinity_host: Option<lift_types::HostId>,
}

impl HostCriteria {
    /// Whether `candidate` satisfies the constraints.
    pub fn is_met_by(&self, candidate: &candidate::Candidate) -> bool {
        if self.tried.contains(&candidate.location.host) {
            return false;
        }
        if self.kind == lift_types::ServiceKind::Plain {
            return true;
        }
        match (&self.version, &candidate.version) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(required), Some(serving)) => required == serving,
        }
    }
}
