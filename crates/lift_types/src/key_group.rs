//! Key group.

/// One of a fixed number of groups that keys fall into, independent of the number of owners.
pub type KeyGroup = u16;
