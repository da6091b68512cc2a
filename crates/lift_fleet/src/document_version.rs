//! Version of a configuration document.

/// Number that operators give to a configuration document. The highest one is in force.
pub type DocumentVersion = u64;
