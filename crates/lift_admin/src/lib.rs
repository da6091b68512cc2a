//! The administration API of the entries.
