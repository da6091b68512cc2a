//! Whether a new member is alone in its cluster.

/// Whether other members can know an earlier disk of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Company {
    /// The member is the only one of a new cluster.
    Alone,
    Others,
}
