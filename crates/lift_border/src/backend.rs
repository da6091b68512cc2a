//! What answers requests.

use std::fmt;

use crate::{answer, backend_call, backend_error};

/// A backend server: a model engine or a plain service.
#[async_trait::async_trait]
pub trait Backend: fmt::Debug + Send + Sync {
    /// Runs one request. The answer's body arrives as a stream; dropping the stream
    /// cancels the request.
    ///
    /// # Errors
    ///
    /// Returns [`backend_error::BackendError::NotSent`] only where no byte of the request
    /// has left this process, so that the request provably did not run. Any other error
    /// leaves open whether it ran.
    async fn submit(
        &self,
        call: backend_call::BackendCall,
    ) -> Result<answer::Answer, error_stack::Report<backend_error::BackendError>>;
}
