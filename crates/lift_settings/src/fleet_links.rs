//! Links between nodes.

use std::path;

/// How nodes authenticate each other.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum FleetLinks {
    /// By a key that is part of the program. Messages are protected against damage, not
    /// against an attacker who can reach the ports.
    Open,
    /// By the key in a file of 64 hexadecimal digits.
    KeyFile(path::PathBuf),
}
