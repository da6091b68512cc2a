//! Incarnation of an agent.

/// Number of one start of an agent. A higher number replaces all lower ones of the same host.
pub type Incarnation = u64;
