//! Identifier of a host.

/// Identifies one process of the system and the host it runs on. It is given in the settings
/// and is unique in the fleet.
pub type HostId = u32;
