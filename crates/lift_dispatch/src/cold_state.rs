//! Whether a backend server is cold.

/// What a gateway may send to a backend server, as far as its warm-up is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdState {
    /// It runs at its usual speed, or its service has no warm-up.
    Warm,
    /// It is slow, and this gateway may send it one more request now.
    Cold,
    /// It is slow, and this gateway has used its share of the requests that it tolerates.
    Full,
}
