//! Role in the current term.

use crate::{leader_state, vote_kind};

/// What a replica does in the current term.
#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    /// Asks for votes of the kind, and holds those of `granted`.
    Candidate {
        kind: vote_kind::VoteKind,
        granted: indexmap::IndexSet<lift_types::MemberId>,
    },
    Leader(Box<leader_state::LeaderState>),
}
