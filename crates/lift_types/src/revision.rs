//! Revision of the configuration.

/// Number of the configuration. It grows by one with each accepted change and never goes back.
pub type Revision = u64;
