//! Key group of a key.

/// Number of one of the fixed groups that keys are divided into. The number of groups does not
/// depend on the number of owners.
pub type KeyGroup = u16;
