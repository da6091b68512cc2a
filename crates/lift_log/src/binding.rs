//! Result of binding a member to a disk.

/// Whether a member that presents a disk is bound to that disk. Only
/// [`Binding::OtherDisk`] may be told to the member: it then gives up its files for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Binding {
    /// The member is durably bound to this disk.
    Bound,
    /// The member is bound to another disk, so the present one replaced it.
    OtherDisk,
    /// The binding could not be saved here, which says nothing about the member.
    NotSaved,
}
