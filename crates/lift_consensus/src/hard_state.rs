//! Durable term and vote of a member.

/// Term and vote. They are synced before any message that depends on them is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HardState {
    /// Highest term that the member has entered.
    pub term: lift_types::Term,
    /// Candidate that received the member's vote in this term.
    pub vote: Option<lift_types::MemberId>,
}
