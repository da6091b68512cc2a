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

    /// Whether a suspect is a whole request, not a part of a prompt.
    pub fn is_digest(suspect: &str) -> bool {
        suspect.starts_with(PREFIX)
    }

    /// The digest as it stands beside the parts of a prompt.
    pub fn as_suspect(&self) -> &prompt_part::PromptPart {
        &self.0
    }
}
