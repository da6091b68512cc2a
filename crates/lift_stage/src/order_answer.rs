//! Answer to an order.

/// What a backend server answers to the order to load weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It has begun.
    Begun,
    /// It holds the weights already.
    InEffect,
    /// The order does not fit its state.
    Conflict,
    /// A newer fencing token was used.
    Fenced,
}
