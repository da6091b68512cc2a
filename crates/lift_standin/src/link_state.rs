//! State of a host's link.

/// What happens to connections over a host's link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Data passes.
    #[default]
    Up,
    /// The host is lost: connections break and no new ones are made.
    Down,
}
