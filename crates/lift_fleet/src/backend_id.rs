//! Identifier of a backend server.

/// Identifier that a backend server gives itself. It usually chooses a new one at each start.
pub type BackendId = String;
