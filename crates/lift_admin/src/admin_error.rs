//! Why the administration API did not start.

/// Failure to start the administration API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminError {
    /// The token file could not be read.
    #[error("the token file could not be read")]
    Tokens,
    /// Certificate or key could not be read.
    #[error("the TLS certificate or key could not be used")]
    Tls,
    /// The address could not be listened on.
    #[error("the address of the administration API could not be listened on")]
    Listen,
    /// The address is reachable from other hosts, but there are no tokens.
    #[error("without tokens the administration API listens on loopback addresses only")]
    OpenWithoutTokens,
}
