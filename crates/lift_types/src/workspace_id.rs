//! Identifier of a workspace.

/// Name of a workspace, the unit of fair sharing and limits between customers.
pub type WorkspaceId = String;
