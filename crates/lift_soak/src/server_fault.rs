//! What is wrong with backend servers in a retry storm.

/// How a backend server answers requests.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum ServerFault {
    /// It answers with an error of its own.
    #[default]
    Error,
    /// It breaks the connection off in the middle of the answer.
    Reset,
    /// It does not answer.
    Silent,
    /// It says that it has not run the request.
    Refuse,
}
