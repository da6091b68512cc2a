//! Who leads the replicated log.

use std::{fmt, net, time};

/// What a member knows of the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Leadership {
    /// This member leads in `term`, at least until `lease_until`. Answers from memory are
    /// current only before that time.
    Leader {
        /// Term of the leader.
        term: lift_types::Term,
        /// When this member became leader and had applied all commands of earlier terms.
        since: time::Instant,
        /// End of the leader lease, which is moved on with each confirmed heartbeat.
        lease_until: time::Instant,
    },
    /// Another member leads, as far as is known.
    Follower {
        /// The leader and the address at which it serves control operations.
        leader: Option<(lift_types::MemberId, net::SocketAddr)>,
    },
}

impl fmt::Display for Leadership {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Leader { .. } => write!(f, "leads"),
            Self::Follower { leader: None } => write!(f, "follows nobody"),
            Self::Follower {
                leader: Some((id, _)),
            } => write!(f, "follows {id}"),
        }
    }
}

impl Leadership {
    /// Whether nothing but the end of the lease differs.
    pub(crate) fn differs_in_lease_only(&self, other: &Self) -> bool {
        match (self, other) {
            (
                Self::Leader { term, since, .. },
                Self::Leader {
                    term: other_term,
                    since: other_since,
                    ..
                },
            ) => term == other_term && since == other_since,
            _ => self == other,
        }
    }
}
