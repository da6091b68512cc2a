//! Why a gateway does not start.

/// Failure to start a gateway.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GatewayError {
    /// A setting without default is missing.
    #[error("the setting {0} of the gateway is missing")]
    Missing(&'static str),
    /// A listener can't be opened.
    #[error("the listener for {0} can't be opened")]
    Listen(&'static str),
}
