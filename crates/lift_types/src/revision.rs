//! Revision of the configuration.

/// Number of a state of the configuration. It grows by one with each accepted change and never
/// decreases.
pub type Revision = u64;
