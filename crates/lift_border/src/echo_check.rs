//! How answers are matched to requests.

/// Whether a backend server must echo the identifier of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EchoCheck {
    /// An answer without the identifier is refused.
    Required,
    /// The identifier is compared where the answer has one.
    WhenPresent,
}
