//! A reply that a caller of the demo gets.

/// Status, version and body of a reply.
#[derive(Debug)]
pub(crate) struct DemoReply {
    pub(crate) status: http::StatusCode,
    pub(crate) version: Option<lift_types::VersionId>,
    pub(crate) body: bytes::Bytes,
}

/// How a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Repeat {
    /// It certainly did not run before.
    First,
    /// It may have run before.
    InDoubt,
}

/// What the entry says of a request without an answer.
#[derive(Debug, serde::Deserialize)]
struct Refusal {
    outcome: String,
}

impl DemoReply {
    /// Takes what a caller looks at.
    pub(crate) fn new(head: &http::response::Parts, body: bytes::Bytes) -> Self {
        let version = head.headers.get(lift_border::VERSION_HEADER);
        let version = version.and_then(|value| value.to_str().ok());
        Self {
            status: head.status,
            version: version.map(String::from),
            body,
        }
    }

    /// How to send the request again, where this is not an answer.
    pub(crate) fn repeat(&self) -> Option<Repeat> {
        if self.status.is_success() {
            return None;
        }
        let refusal: Refusal = serde_json::from_slice(&self.body).ok()?;
        match refusal.outcome.as_str() {
            "not_run" => Some(Repeat::First),
            "in_doubt" => Some(Repeat::InDoubt),
            _ => None,
        }
    }
}
