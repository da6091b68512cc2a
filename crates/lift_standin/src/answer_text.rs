//! Text of the engine's answers.

/// Length of a token, in bytes.
const TOKEN_BYTES: usize = 8;

/// Text that depends on version and request, so that an answer that is mixed, crossed or
/// made by the wrong version differs from the expected one.
#[derive(Clone, Debug)]
pub struct AnswerText {
    request: blake3::Hash,
    tokens: usize,
}

impl AnswerText {
    /// Text of `tokens` tokens that answers `request`.
    pub fn new(request: &[u8], tokens: usize) -> Self {
        Self {
            request: blake3::hash(request),
            tokens,
        }
    }

    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.tokens * TOKEN_BYTES
    }

    /// Whether there is no token.
    pub fn is_empty(&self) -> bool {
        self.tokens == 0
    }

    /// Number of tokens.
    pub fn tokens(&self) -> usize {
        self.tokens
    }

    /// One token as made by `version`.
    pub fn token(&self, version: &str, position: usize) -> String {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.request.as_bytes());
        hasher.update(&(position as u64).to_le_bytes());
        hasher.update(version.as_bytes());
        let hex = hasher.finalize().to_hex();
        let mut token = String::from(&hex[..TOKEN_BYTES - 1]);
        token.push(' ');
        token
    }

    /// The whole text as made by `version`.
    pub fn whole(&self, version: &str) -> String {
        let tokens = (0..self.tokens).map(|position| self.token(version, position));
        tokens.collect()
    }
}
