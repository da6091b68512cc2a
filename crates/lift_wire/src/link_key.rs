//! Key of the links between our processes.

use std::fmt;

/// A shared key with a number. The number is sent in clear, so that keys can be rotated
/// while old and new ones are both accepted.
#[derive(Clone, PartialEq, Eq)]
pub struct LinkKey {
    id: u8,
    secret: [u8; 32],
}

impl LinkKey {
    /// Makes a key from its number and secret.
    pub fn new(id: u8, secret: [u8; 32]) -> Self {
        Self { id, secret }
    }

    /// Number of the key.
    pub fn id(&self) -> u8 {
        self.id
    }

    /// Hash of `parts` under the key. The parts must have fixed lengths, or the last one
    /// alone may vary.
    pub fn hash(&self, parts: &[&[u8]]) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new_keyed(&self.secret);
        for part in parts {
            hasher.update(part);
        }
        *hasher.finalize().as_bytes()
    }
}

impl fmt::Debug for LinkKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LinkKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}
