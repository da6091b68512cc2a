//! A policy on its way to a node.

use std::sync;

/// The whole policy, or the difference from one that the node has.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub(crate) enum PolicyUpdate {
    Full(lift_types::Policy),
    Delta(lift_state::PolicyDelta),
}

impl PolicyUpdate {
    /// The policy that results at a node which has `old`. `None` where the node has the
    /// same or a later one, and where the difference starts from another revision.
    pub(crate) fn resolve(self, old: &lift_types::Policy) -> Option<sync::Arc<lift_types::Policy>> {
        let new = match self {
            Self::Full(new) => new,
            Self::Delta(delta) => delta.apply(old)?,
        };
        (new.revision > old.revision).then(|| sync::Arc::new(new))
    }

    /// Revision that it leads to.
    pub(crate) fn revision(&self) -> lift_types::Revision {
        match self {
            Self::Full(policy) => policy.revision,
            Self::Delta(delta) => delta.revision(),
        }
    }
}
