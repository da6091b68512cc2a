//! Role of a replica in the current term.

use crate::{leader_state, vote_kind};

/// Raft role of a replica in the current term.
#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    /// Has requested votes of `kind` and received those of the members in `granted`.
    Candidate {
        kind: vote_kind::VoteKind,
        granted: indexmap::IndexSet<lift_types::MemberId>,
    },
    Leader(Box<leader_state::LeaderState>),
}
