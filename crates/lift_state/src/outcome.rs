//! Outcome of a non-idempotent request.

/// Maximum size of the body that is kept with an outcome, in bytes. Control members keep
/// outcomes in memory.
pub const MAX_OUTCOME_BODY_BYTES: usize = 16 * 1024;

/// Recorded HTTP response of a request that ran.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Outcome {
    /// Status code of the response.
    pub status: u16,
    /// Headers of the response. They are dropped, like the body, if the memory for outcomes is
    /// used up.
    pub headers: Vec<(String, String)>,
    /// Body of the response. `None` if it exceeded [`MAX_OUTCOME_BODY_BYTES`] or the memory for
    /// outcomes was used up. A repeated request is then known to have run, but its response
    /// body is lost.
    pub body: Option<bytes::Bytes>,
}
