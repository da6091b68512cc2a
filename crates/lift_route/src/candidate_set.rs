//! Candidate hosts of one service.

use crate::candidate;

/// Candidate hosts of one service, split by region. It is rebuilt when the membership
/// changes and periodically for the reported loads, not for each request.
#[derive(Clone, Debug, Default)]
pub struct CandidateSet {
    /// Hosts in the region of the entry.
    pub same_region: indexmap::IndexMap<lift_types::HostId, candidate::Candidate>,
    /// Hosts in other regions.
    pub other_regions: indexmap::IndexMap<lift_types::HostId, candidate::Candidate>,
}

impl CandidateSet {
    /// Adds a host, where `region` is the region of the entry.
    pub fn insert(&mut self, region: &str, candidate: candidate::Candidate) {
        let hosts = if candidate.location.region == region {
            &mut self.same_region
        } else {
            &mut self.other_regions
        };
        hosts.insert(candidate.location.host, candidate);
    }

    /// Returns the candidate with the id `host`.
    pub fn find(&self, host: lift_types::HostId) -> Option<&candidate::Candidate> {
        self.same_region
            .get(&host)
            .or_else(|| self.other_regions.get(&host))
    }

    /// Number of hosts in all regions.
    pub fn len(&self) -> usize {
        self.same_region.len() + self.other_regions.len()
    }

    /// Whether the set contains no host.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
