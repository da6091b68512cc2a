//! Orders to the operator.

/// What the operator is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OperatorOrder {
    /// Sends a configuration with another route.
    Change,
    /// Sends a configuration in which a key is replaced.
    Revoke,
    /// Names new weights.
    NameWeights,
    /// Evacuates [`crate::cast::EVACUATED_DOMAIN`].
    Evacuate,
    /// Restores it.
    Restore,
}
