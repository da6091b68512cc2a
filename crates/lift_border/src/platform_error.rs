//! Why the platform was not told.

/// The platform did not confirm the readiness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the platform did not confirm the readiness")]
pub struct PlatformError;
