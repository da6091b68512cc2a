//! Key of a workspace.

/// Secret text by which a caller authenticates as a member of a workspace.
pub type ApiKey = String;
