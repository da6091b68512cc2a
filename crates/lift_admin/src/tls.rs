//! TLS for listeners.

use std::{path, sync};

use error_stack::ResultExt as _;
use rustls::pki_types;

use pki_types::pem::PemObject as _;

use crate::admin_error;

/// Reads a certificate chain and a key from PEM files.
///
/// # Errors
///
/// Returns an error where a file can't be read or the two do not fit together.
pub fn load_tls(
    certificate: &path::Path,
    key: &path::Path,
) -> Result<tokio_rustls::TlsAcceptor, error_stack::Report<admin_error::AdminError>> {
    let certificates = pki_types::CertificateDer::pem_file_iter(certificate)
        .change_context(admin_error::AdminError::Tls)?
        .collect::<Result<Vec<_>, _>>()
        .change_context(admin_error::AdminError::Tls)?;
    let key = pki_types::PrivateKeyDer::from_pem_file(key)
        .change_context(admin_error::AdminError::Tls)?;
    let provider = sync::Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .change_context(admin_error::AdminError::Tls)?
        .with_no_client_auth()
        .with_single_cert(certificates, key)
        .change_context(admin_error::AdminError::Tls)?;
    Ok(tokio_rustls::TlsAcceptor::from(sync::Arc::new(config)))
}
