//! Outcome of a non-idempotent request.

/// Longest body that is kept with an outcome, in bytes. Control keeps outcomes in memory.
pub const MAX_OUTCOME_BODY_BYTES: usize = 16 * 1024;

/// Recorded answer of a request that ran.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Outcome {
    /// HTTP status of the answer.
    pub status: u16,
    /// Headers of the answer.
    pub headers: Vec<(String, String)>,
    /// Body of the answer, or `None` where it was over [`MAX_OUTCOME_BODY_BYTES`]. A repeat
    /// then learns that the request ran, but not its body.
    pub body: Option<bytes::Bytes>,
}
