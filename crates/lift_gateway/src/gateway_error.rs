//! Why a gateway can't start.

/// Reason why a gateway can't start.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GatewayError {
    /// A required setting is missing.
    #[error("the setting {0} of the gateway is missing")]
    Missing(&'static str),
    /// A listener can't be opened.
    #[error("the listener for {0} can't be opened")]
    Listen(&'static str),
}
