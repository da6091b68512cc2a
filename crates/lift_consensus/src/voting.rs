//! Whether a member may take part.

/// Guards against a member whose disk was lost and who would vote a second time under the
/// same identifier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Voting {
    /// The disk is known to hold all that the member has promised.
    #[default]
    Allowed,
    /// The disk is empty and it is not known yet whether the identifier was used before.
    /// The member ignores all messages until `VotingAllowed`.
    Withheld,
}
