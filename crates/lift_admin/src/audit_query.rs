//! Query of the audit log.

/// Records without a limit in the query.
const DEFAULT_LIMIT: u32 = 100;

/// Which records to read.
#[derive(Clone, Copy, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct AuditQuery {
    /// Only changes after this revision.
    #[serde(default)]
    pub(crate) after: lift_types::Revision,
    /// At most this many.
    #[serde(default = "default_limit")]
    pub(crate) limit: u32,
}

fn default_limit() -> u32 {
    DEFAULT_LIMIT
}
