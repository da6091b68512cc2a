//! Identifier of a control member.

/// Identifies a control member by its disk. A host that lost its disk joins as a new member
/// with a new id.
pub type MemberId = u64;
