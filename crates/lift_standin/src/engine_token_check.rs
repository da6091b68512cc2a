//! Whether the engine stand-in checks fencing tokens.

/// What the engine does with an order under a token below the highest one that it has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineTokenCheck {
    /// Refuses the order.
    #[default]
    Refuse,
    /// Follows the order, as engines do that know no tokens.
    Ignore,
}
