//! Key of a workspace.

/// Text by which a caller shows to which workspace it belongs.
pub type ApiKey = String;
