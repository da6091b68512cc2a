//! What the leader confirms.

/// State that was in force when a question came. A node that holds an older one is not confirmed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Confirmation {
    /// Version of the configuration document, 0 where there is none.
    pub document: lift_fleet::DocumentVersion,
    /// Revision of the set of evacuated failure domains.
    pub evacuations: lift_fleet::EvacuationRevision,
}
