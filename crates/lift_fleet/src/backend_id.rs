//! Identifier of a backend server.

/// Name that a backend server gives itself. Most starts bring a new one.
pub type BackendId = String;
