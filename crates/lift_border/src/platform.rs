//! The platform that the processes run on.

use std::fmt;

use crate::{platform_error, readiness};

/// The platform's balancer, which sends callers to entries that are ready.
#[async_trait::async_trait]
pub trait Platform: fmt::Debug + Send + Sync {
    /// Tells the balancer whether this process takes new work.
    ///
    /// # Errors
    ///
    /// Returns an error where the platform did not confirm; the caller tries again.
    async fn set_readiness(
        &self,
        readiness: readiness::Readiness,
    ) -> Result<(), error_stack::Report<platform_error::PlatformError>>;
}
