//! Body of an answer that reports a failure.

/// Why a request failed. Answers with status 400 and above carry it, but for changes.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Problem {
    /// What went wrong and what is allowed, as one sentence.
    pub error: String,
}
