//! How far a sighting is passed on.

/// Which connections a kept sighting is sent over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spread {
    /// All connections, those that are open and those that open later.
    All,
    /// Connections that open later only. A gateway passes on what it has learned from a control
    /// member in this way: the other members that are connected have it from its source, and one
    /// that has restarted has lost it.
    Newcomers,
}
