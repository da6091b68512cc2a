//! Hosts of one service.

use crate::candidate;

/// Hosts that answer one service, split by region. It is rebuilt where the membership
/// changes, not for each request.
#[derive(Clone, Debug, Default)]
pub struct CandidateSet {
    /// Hosts in the region of the entry.
    pub near: indexmap::IndexMap<lift_types::HostId, candidate::Candidate>,
    /// Hosts in other regions.
    pub far: indexmap::IndexMap<lift_types::HostId, candidate::Candidate>,
}

impl CandidateSet {
    /// Adds a host, seen from an entry in `region`.
    pub fn insert(&mut self, region: &str, candidate: candidate::Candidate) {
        let side = if candidate.place.region == region {
            &mut self.near
        } else {
            &mut self.far
        };
        side.insert(candidate.place.host, candidate);
    }

    /// Finds a host.
    pub fn find(&self, host: lift_types::HostId) -> Option<&candidate::Candidate> {
        self.near.get(&host).or_else(|| self.far.get(&host))
    }

    /// Number of hosts.
    pub fn len(&self) -> usize {
        self.near.len() + self.far.len()
    }

    /// Whether there is no host.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
