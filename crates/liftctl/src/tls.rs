//! TLS of the client.

use std::{path, sync};

use rustls::pki_types;

use pki_types::pem::PemObject as _;

use crate::cli_error;

/// Reads the certificate authority that the servers' certificates are checked against.
pub(crate) fn connector(
    ca: &path::Path,
) -> Result<tokio_rustls::TlsConnector, cli_error::CliError> {
    let unusable = |e: String| cli_error::CliError::Invalid(format!("--ca {}: {e}", ca.display()));
    let mut roots = rustls::RootCertStore::empty();
    let certificates =
        pki_types::CertificateDer::pem_file_iter(ca).map_err(|e| unusable(e.to_string()))?;
    for certificate in certificates {
        let certificate = certificate.map_err(|e| unusable(e.to_string()))?;
        roots
            .add(certificate)
            .map_err(|e| unusable(e.to_string()))?;
    }
    let provider = sync::Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|e| unusable(e.to_string()))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok(tokio_rustls::TlsConnector::from(sync::Arc::new(config)))
}
