//! Failures of the administration API as HTTP answers.

use axum::{Json, response};

use crate::{control_change_error, fleet_error, problem};

/// A failure with its HTTP status.
#[derive(Debug)]
pub(crate) struct ApiError {
    status: http::StatusCode,
    error: String,
}

impl ApiError {
    /// Makes a failure from a status and a sentence.
    pub(crate) fn new(status: http::StatusCode, error: impl Into<String>) -> Self {
        Self {
            status,
            error: error.into(),
        }
    }

    /// HTTP status of a failed control operation. Only 504 leaves open whether it was
    /// carried out, so that a client repeats it under the same id.
    fn status_of(error: &lift_rpc::ControlError) -> http::StatusCode {
        match error {
            lift_rpc::ControlError::Unavailable | lift_rpc::ControlError::NotLeader { .. } => {
                http::StatusCode::SERVICE_UNAVAILABLE
            }
            lift_rpc::ControlError::UnknownMessage { .. } => http::StatusCode::BAD_GATEWAY,
            lift_rpc::ControlError::Unknown => http::StatusCode::GATEWAY_TIMEOUT,
            lift_rpc::ControlError::Missing { .. } => http::StatusCode::NOT_FOUND,
            lift_rpc::ControlError::Invalid { .. } => http::StatusCode::UNPROCESSABLE_ENTITY,
        }
    }
}

impl From<error_stack::Report<lift_rpc::ControlError>> for ApiError {
    fn from(report: error_stack::Report<lift_rpc::ControlError>) -> Self {
        let error = report.current_context();
        Self::new(Self::status_of(error), error.to_string())
    }
}

impl From<error_stack::Report<fleet_error::FleetError>> for ApiError {
    fn from(report: error_stack::Report<fleet_error::FleetError>) -> Self {
        let error = report.current_context();
        let status = match error {
            fleet_error::FleetError::UnknownHost(_) => http::StatusCode::NOT_FOUND,
            fleet_error::FleetError::Unconfirmed(_) => http::StatusCode::BAD_GATEWAY,
        };
        Self::new(status, error.to_string())
    }
}

impl From<error_stack::Report<control_change_error::ControlChangeError>> for ApiError {
    fn from(report: error_stack::Report<control_change_error::ControlChangeError>) -> Self {
        let error = report.current_context();
        let status = match error {
            control_change_error::ControlChangeError::NotLeader => {
                http::StatusCode::SERVICE_UNAVAILABLE
            }
            control_change_error::ControlChangeError::Refused(_) => {
                http::StatusCode::UNPROCESSABLE_ENTITY
            }
            control_change_error::ControlChangeError::Unknown => http::StatusCode::BAD_GATEWAY,
        };
        Self::new(status, error.to_string())
    }
}

impl response::IntoResponse for ApiError {
    fn into_response(self) -> response::Response {
        let body = problem::Problem { error: self.error };
        (self.status, Json(body)).into_response()
    }
}
