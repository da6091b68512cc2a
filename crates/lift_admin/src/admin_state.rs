//! What the handlers of the administration API share.

use std::sync;

use axum::http::HeaderMap;

use crate::{api_error, control_members, fleet_view, token_role, token_store};

/// Author of a change where neither the caller nor a token names one.
const UNKNOWN_AUTHOR: &str = "unknown";

/// Shared parts, cloned into each handler.
#[derive(Clone, Debug)]
pub(crate) struct AdminState {
    pub(crate) control: sync::Arc<dyn lift_rpc::ControlPort>,
    pub(crate) fleet: sync::Arc<dyn fleet_view::FleetView>,
    pub(crate) members: Option<sync::Arc<dyn control_members::ControlMembers>>,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    pub(crate) tokens: Option<sync::Arc<token_store::TokenStore>>,
    pub(crate) log: slog::Logger,
}

impl AdminState {
    /// Checks that the caller has `role`. Returns the name of its token, or `None` where
    /// there are no tokens and the listener is on loopback.
    pub(crate) fn authorize(
        &self,
        headers: &HeaderMap,
        role: token_role::TokenRole,
    ) -> Result<Option<String>, api_error::ApiError> {
        let Some(tokens) = &self.tokens else {
            return Ok(None);
        };
        let found = bearer(headers).and_then(|token| tokens.find(token));
        let Some(record) = found else {
            self.counters.increment("admin.unauthorized");
            let error = "a valid bearer token is required";
            return Err(api_error::ApiError::new(
                http::StatusCode::UNAUTHORIZED,
                error,
            ));
        };
        if record.role < role {
            self.counters.increment("admin.forbidden");
            let error = format!("this needs role {role}; the token has role {}", record.role);
            return Err(api_error::ApiError::new(http::StatusCode::FORBIDDEN, error));
        }
        Ok(Some(record.name))
    }

    /// Author for the audit log. The name of a token can't be forged, so it is always kept.
    pub(crate) fn author(&self, token: Option<String>, given: &str) -> String {
        match token {
            Some(token) if given.is_empty() || given == token => token,
            Some(token) => format!("{given} (token {token})"),
            None if given.is_empty() => String::from(UNKNOWN_AUTHOR),
            None => String::from(given),
        }
    }
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(http::header::AUTHORIZATION)?.to_str().ok()?;
    text.strip_prefix("Bearer ")
}
