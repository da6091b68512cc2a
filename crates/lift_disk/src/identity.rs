//! Identity of a member's disk.

/// Binds a disk to a member. A host whose disk was lost gets a new disk id, so that the
/// others notice when it still uses the old member id.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Identity {
    /// The member.
    pub member: lift_types::MemberId,
    /// Random number of this disk.
    pub disk: u64,
    /// Whether the member may vote.
    pub confirmed: bool,
    /// Disks of the other members, as first seen.
    pub peers: indexmap::IndexMap<lift_types::MemberId, u64>,
}
