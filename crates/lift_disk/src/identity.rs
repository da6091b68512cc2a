//! Identity of a member and its disk.

/// Binds a disk to a member. A host that lost its disk gets a new disk id, so that the other
/// members detect that it still uses the old member id.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Identity {
    /// Member that the disk belongs to.
    pub member: lift_types::MemberId,
    /// Random id of this disk.
    pub disk: u64,
    /// Whether the member may vote.
    pub confirmed: bool,
    /// Disk ids of the other members, as this member first received them.
    pub peers: indexmap::IndexMap<lift_types::MemberId, u64>,
}
