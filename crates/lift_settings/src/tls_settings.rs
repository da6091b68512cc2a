//! Files for TLS.

use std::path;

/// Certificate and key of the caller listener and the admin listener.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// PEM file with the certificate chain, the node's own certificate first.
    pub certificate: path::PathBuf,
    /// PEM file with the private key.
    pub key: path::PathBuf,
}
