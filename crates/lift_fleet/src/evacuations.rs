//! Evacuated failure domains.

use crate::evacuation_revision;

/// Failure domains whose backend servers get no more requests, with the revision of the last
/// change. See `docs/design/evacuations.md`.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Evacuations {
    revision: evacuation_revision::EvacuationRevision,
    failure_domains: indexmap::IndexSet<lift_types::FailureDomainId>,
}

impl Evacuations {
    /// Revision of the last change.
    pub fn revision(&self) -> evacuation_revision::EvacuationRevision {
        self.revision
    }

    /// Whether `failure_domain` is evacuated.
    pub fn contains(&self, failure_domain: &str) -> bool {
        self.failure_domains.contains(failure_domain)
    }

    /// All evacuated failure domains, in no particular order.
    pub fn failure_domains(&self) -> impl Iterator<Item = &lift_types::FailureDomainId> {
        self.failure_domains.iter()
    }

    /// Number of evacuated failure domains.
    pub fn len(&self) -> usize {
        self.failure_domains.len()
    }

    /// Whether no failure domain is evacuated.
    pub fn is_empty(&self) -> bool {
        self.failure_domains.is_empty()
    }

    /// Evacuates `failure_domain` by the log entry at `revision`. Returns whether that changed
    /// anything.
    pub fn evacuate(
        &mut self,
        revision: evacuation_revision::EvacuationRevision,
        failure_domain: lift_types::FailureDomainId,
    ) -> bool {
        if self.includes(revision) || !self.failure_domains.insert(failure_domain) {
            return false;
        }
        self.revision = revision;
        true
    }

    /// Restores `failure_domain` by the log entry at `revision`. Returns whether that changed
    /// anything.
    pub fn restore(
        &mut self,
        revision: evacuation_revision::EvacuationRevision,
        failure_domain: &str,
    ) -> bool {
        if self.includes(revision) || !self.failure_domains.shift_remove(failure_domain) {
            return false;
        }
        self.revision = revision;
        true
    }

    /// Whether the effect of the log entry at `revision` is part of this set. A log that starts
    /// again applies its entries to the state that was kept.
    fn includes(&self, revision: evacuation_revision::EvacuationRevision) -> bool {
        revision <= self.revision
    }
}
