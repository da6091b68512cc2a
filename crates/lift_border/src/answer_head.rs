//! Head of an answer.

/// Status, headers and version of an answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Headers, without hop-by-hop ones.
    pub headers: Vec<(String, String)>,
    /// Version of the weights that made the answer, for a model replica.
    pub version: Option<lift_types::VersionId>,
    /// Length of the body in bytes, where it is known at the start.
    pub length: Option<u64>,
}
