//! Head of a caller's request.

use std::time;

/// The part of a request's head that the gateway uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Identifier that the caller gives to this request. A retry by the caller has its own.
    pub id: String,
    /// Time for which the caller waits for the answer, if it specifies one.
    pub timeout: Option<time::Duration>,
    /// API key of the caller's workspace.
    pub key: Option<lift_fleet::ApiKey>,
    /// Requested model.
    pub model: Option<lift_fleet::ModelName>,
    /// Parts of the prompt in order, without the last, which is the request's own.
    pub parts: Vec<lift_fleet::PromptPart>,
    /// The whole prompt as the caller names it, if it does. It tells requests with equal bodies
    /// apart.
    pub prompt: Option<String>,
    /// Number of the last event of the stream that the caller has received, if it resumes one.
    pub last_event: Option<u64>,
}
