//! Identifier of a workspace.

/// Name of a workspace, the unit of fair sharing and limits among customers.
pub type WorkspaceId = String;
