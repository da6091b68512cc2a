//! Identifier of a control member.

/// Identifies one disk of a control host. A host whose disk was lost gets a new one.
pub type MemberId = u64;
