//! How callers and backend servers write heads.

use std::fmt;

use crate::{answer_head, backend_call, caller_head, decline, dialect_error};

/// Translates heads between HTTP and what the gateway works with. It decides nothing.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the first header that is missing or can't be read.
    fn read_request(
        &self,
        head: &http::request::Parts,
    ) -> Result<caller_head::CallerHead, dialect_error::DialectError>;

    /// Adds to the caller's end-to-end headers what a backend server is told, and removes
    /// what it must not see.
    fn write_call(&self, headers: &mut http::HeaderMap, call: &backend_call::BackendCall);

    /// Reads the head of a backend server's answer.
    fn read_answer(&self, head: &http::response::Parts) -> answer_head::AnswerHead;

    /// Adds the headers of a reply that the gateway makes itself.
    fn write_decline(&self, headers: &mut http::HeaderMap, decline: &decline::Decline);
}
