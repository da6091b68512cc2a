//! Permission of a member to vote.

/// Whether a member may vote. Prevents a member whose disk was lost from voting a second time
/// in a term under the same identifier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Voting {
    /// The disk is known to hold every vote and confirmation that the member has sent.
    #[default]
    Allowed,
    /// The disk is empty and it is not known yet whether the identifier was used before. The
    /// member ignores all messages and starts no election until it handles
    /// [`crate::Event::VotingAllowed`].
    Withheld,
}
