//! Format of the heads of requests and answers.

use std::fmt;

use crate::{answer_head, backend_call, caller_head, dialect_error, rejection};

/// Converts between HTTP headers and the types of the gateway. Makes no decisions.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the first header that is missing or can't be parsed.
    fn read_request(
        &self,
        head: &http::request::Parts,
    ) -> Result<caller_head::CallerHead, dialect_error::DialectError>;

    /// Adds the information in `call` to the end-to-end headers of the caller, and removes the
    /// headers that must not reach a backend server.
    fn write_call(&self, headers: &mut http::HeaderMap, call: &backend_call::BackendCall);

    /// Reads the head of a backend server's answer.
    fn read_answer(&self, head: &http::response::Parts) -> answer_head::AnswerHead;

    /// Adds the headers of the response to a rejected request.
    fn write_rejection(&self, headers: &mut http::HeaderMap, rejection: &rejection::Rejection);
}
