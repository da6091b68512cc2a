//! Group of keys with a common owner.

/// Number of one of the fixed groups that keys are divided into. The number of groups does not
/// depend on the number of owners.
pub type KeyGroup = u16;
