//! Identifier of a request.

/// Identifies a request on one connection between an entry and an agent.
pub type RequestId = u64;
