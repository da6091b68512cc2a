//! Which member a folder belongs to.

/// What the files in a folder tell about the host's membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiskOwner {
    /// They belong to this member.
    Member(lift_types::MemberId),
    /// They belonged to a member whose identifier must not be used any more. The host may only
    /// join under a new one, whatever its settings say about the first start of the fleet.
    Retired,
    /// The folder has never belonged to a member.
    Nobody,
}
