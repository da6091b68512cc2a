//! What a request needs of a host.

use crate::candidate;

/// Constraints and preferences of one choice.
#[derive(Clone, Debug, Default)]
pub struct ChoiceRequest {
    /// Whether the service answers from weights, so that the host must serve a version.
    pub kind: lift_types::ServiceKind,
    /// Version that must answer; `None` where any may.
    pub version: Option<lift_types::VersionId>,
    /// Hosts that were tried.
    pub tried: Vec<lift_types::HostId>,
    /// Failure domain that is preferred where loads are equal.
    pub failure_domain: Option<lift_types::FailureDomainId>,
    /// Host that answered a request with the same prefix.
    pub affine: Option<lift_types::HostId>,
}

impl ChoiceRequest {
    /// Whether `candidate` can answer.
    pub fn admits(&self, candidate: &candidate::Candidate) -> bool {
        if self.tried.contains(&candidate.place.host) {
            return false;
        }
        if self.kind == lift_types::ServiceKind::Plain {
            return true;
        }
        match (&self.version, &candidate.version) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(wanted), Some(serving)) => wanted == serving,
        }
    }
}
