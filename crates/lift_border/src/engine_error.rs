//! Why an engine did not follow an order.

/// Failure of an order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// The engine could not be reached or did not answer in time.
    #[error("the engine did not answer")]
    Unreachable,
    /// The engine has seen a higher fencing token.
    #[error("the engine has seen fencing token {highest}")]
    Stale {
        /// Highest token that the engine has seen.
        highest: lift_types::FencingToken,
    },
    /// The engine refused the weights.
    #[error("the engine refused the order: {reason}")]
    Refused {
        /// What the engine says.
        reason: String,
    },
}
