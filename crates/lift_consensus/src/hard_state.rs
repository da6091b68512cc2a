//! What a member must never forget.

/// Term and vote. Synced before any message that depends on them is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HardState {
    /// Highest term that the member has seen.
    pub term: lift_types::Term,
    /// Candidate that got the member's vote in this term.
    pub vote: Option<lift_types::MemberId>,
}
