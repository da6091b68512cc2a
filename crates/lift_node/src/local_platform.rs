//! A platform that is not told.

/// Takes note of the readiness in the log. The platform's load balancer asks the caller
/// listener for `/ready` instead.
#[derive(Debug)]
pub(crate) struct LocalPlatform {
    log: slog::Logger,
}

impl LocalPlatform {
    /// Logs to `log`.
    pub(crate) fn new(log: slog::Logger) -> Self {
        Self { log }
    }
}

#[async_trait::async_trait]
impl lift_border::Platform for LocalPlatform {
    async fn set_readiness(
        &self,
        readiness: lift_border::Readiness,
    ) -> Result<(), error_stack::Report<lift_border::PlatformError>> {
        slog::debug!(self.log, "readiness"; "readiness" => %readiness);
        Ok(())
    }
}
