//! What an agent knows of a claim.

/// State of one attempt at the agent that holds its claim.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ClaimState {
    /// The attempt ran, with this answer.
    Ran {
        /// HTTP status of the answer.
        status: u16,
        /// Headers of the answer.
        headers: Vec<(String, String)>,
        /// Body of the answer, or `None` where it is too long to be kept.
        body: Option<bytes::Bytes>,
    },
    /// The attempt is in progress.
    Running,
    /// The attempt did not run, and the agent refuses it from now on.
    Never,
    /// The backend server got the request but gave no whole answer, or an earlier
    /// incarnation of the agent held the claim.
    Unknown,
}
