//! Limits of an entry.

/// Limits that bound the memory of an entry.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields, default)]
pub struct EntryLimits {
    /// Connections of callers that are open at once.
    pub max_connections: u32,
    /// Longest request body, in bytes.
    pub max_body_bytes: u64,
    /// Requests in progress at once, over all workspaces.
    pub max_in_progress: u32,
    /// Time of a request whose caller names no deadline, in milliseconds.
    pub request_timeout_ms: u64,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            max_connections: 8_192,
            max_body_bytes: 4 * 1024 * 1024,
            max_in_progress: 4_096,
            request_timeout_ms: 60_000,
        }
    }
}
