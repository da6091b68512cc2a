//! A file with a link key.

use std::{fs, path};

/// Length of a link key in bytes.
pub const LINK_KEY_BYTES: usize = 32;

/// Number of a link key and the file that holds it.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct KeyFile {
    /// Number of the key, from 0 to 255. It is sent in clear and must differ between keys.
    pub id: u8,
    /// File with the key: 64 hexadecimal digits.
    pub file: path::PathBuf,
}

impl KeyFile {
    /// Reads the secret.
    ///
    /// # Errors
    ///
    /// Returns a sentence that tells why the file is not a key.
    pub fn read(&self) -> Result<[u8; LINK_KEY_BYTES], String> {
        let text = fs::read_to_string(&self.file)
            .map_err(|e| format!("the key file can't be read: {}", e.kind()))?;
        decode(text.trim()).ok_or_else(|| String::from("the key file holds no key"))
    }
}

fn decode(text: &str) -> Option<[u8; LINK_KEY_BYTES]> {
    // The hash type of lift_types has the same length and text form as a key.
    lift_types::ChunkHash::from_hex(text).map(|hash| hash.0)
}
