//! An answer of a backend server.

use std::fmt;

use futures_util::stream;

use crate::{answer_head, backend_error};

/// Body of an answer. It ends without an error only where the whole body has come.
pub type BodyStream = stream::BoxStream<'static, Result<bytes::Bytes, backend_error::BackendError>>;

/// Head and body of an answer.
pub struct Answer {
    /// Status and headers.
    pub head: answer_head::AnswerHead,
    /// Body, as it comes.
    pub body: BodyStream,
}

impl fmt::Debug for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Answer")
            .field("head", &self.head)
            .finish_non_exhaustive()
    }
}
