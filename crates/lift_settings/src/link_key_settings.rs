//! Keys of the links between nodes.

use crate::key_file;

/// The key to send with, and further keys that are accepted during a rotation.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct LinkKeySettings {
    /// Key to send with. It is accepted too.
    pub current: key_file::KeyFile,
    /// Further keys that are accepted while keys are rotated.
    #[serde(default)]
    pub accepted: Vec<key_file::KeyFile>,
}
