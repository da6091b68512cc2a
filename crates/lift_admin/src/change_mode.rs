//! Whether a change is carried out.

/// Mode of a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeMode {
    /// Carry it out.
    #[default]
    Apply,
    /// Check it and show the policy that it would give.
    DryRun,
}
