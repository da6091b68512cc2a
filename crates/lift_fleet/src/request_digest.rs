//! Identity of a whole request.

use crate::prompt_part;

/// Start of the text of a digest. Parts of prompts that start with it are ignored, so that no caller
/// can name a part that stands for a request of another one.
const PREFIX: &str = "request:";

/// Digest of all that a caller sends again with the same request, whatever its identifier.
///
/// A request that crashes backend servers by itself is blamed under its digest, beside the parts of
/// its prompt, so a digest has the form of a [`prompt_part::PromptPart`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestDigest(prompt_part::PromptPart);

impl RequestDigest {
    /// The digest with these bytes.
    pub fn new(bytes: [u8; 16]) -> Self {
        Self(format!("{PREFIX}{:032x}", u128::from_be_bytes(bytes)))
    }

    /// The digest of these fields. One that is missing differs from an empty one.
    pub fn of(fields: &[Option<&[u8]>]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for field in fields {
            // The length keeps the end of one field apart from the start of the next.
            let length = field.map_or(u64::MAX, |field| field.len() as u64);
            hasher.update(&length.to_be_bytes());
            hasher.update(field.unwrap_or_default());
        }
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Self::new(bytes)
    }

    /// Whether a suspect is a whole request, not a part of a prompt.
    pub fn is_digest(suspect: &str) -> bool {
        suspect.starts_with(PREFIX)
    }

    /// The digest as it stands beside the parts of a prompt.
    pub fn as_suspect(&self) -> &prompt_part::PromptPart {
        &self.0
    }
}
