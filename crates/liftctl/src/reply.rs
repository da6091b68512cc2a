//! Answer of a server.

use crate::cli_error;

/// Status and body of an answer.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: http::StatusCode,
    pub(crate) body: bytes::Bytes,
}

impl Reply {
    /// Decodes the body of a good answer.
    pub(crate) fn decode<T: serde::de::DeserializeOwned>(&self) -> Result<T, cli_error::CliError> {
        serde_json::from_slice(&self.body)
            .map_err(|e| cli_error::CliError::Failed(format!("the answer can't be read: {e}")))
    }

    /// Passes a good answer on and turns any other one into an error.
    pub(crate) fn check(self) -> Result<Self, cli_error::CliError> {
        if self.status.is_success() {
            return Ok(self);
        }
        let text = match serde_json::from_slice::<lift_admin::Problem>(&self.body) {
            Ok(problem) => problem.error,
            Err(_) => String::from_utf8_lossy(&self.body).trim().to_string(),
        };
        let text = format!("{} ({})", text, self.status.as_u16());
        Err(match self.status {
            http::StatusCode::BAD_REQUEST
            | http::StatusCode::NOT_FOUND
            | http::StatusCode::UNPROCESSABLE_ENTITY => cli_error::CliError::Invalid(text),
            status if is_unanswered(status) => cli_error::CliError::Unreachable(text),
            _ => cli_error::CliError::Failed(text),
        })
    }
}

/// Whether control could not be reached, so that a request is worth repeating.
pub(crate) fn is_unanswered(status: http::StatusCode) -> bool {
    matches!(
        status,
        http::StatusCode::SERVICE_UNAVAILABLE | http::StatusCode::GATEWAY_TIMEOUT
    )
}
