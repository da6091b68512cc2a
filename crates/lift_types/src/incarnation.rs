//! Incarnation of an agent.

/// Number that identifies one start of an agent. A higher incarnation supersedes all lower ones
/// of the same host.
pub type Incarnation = u64;
