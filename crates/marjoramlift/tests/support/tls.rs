//! TLS between tests and a node.

use std::{fs, io, net, path, sync};

use rustls::pki_types;

/// A connection, with or without TLS.
pub trait Duplex: io::Read + io::Write + Send {}

impl<T: io::Read + io::Write + Send> Duplex for T {}

/// A certificate that callers trust.
pub struct Tls(sync::Arc<rustls::ClientConfig>);

/// Settings of a node with the files of [`Tls::create`] in its working folder.
pub fn settings() -> serde_json::Value {
    serde_json::json!({"certificate": "cert.pem", "key": "key.pem"})
}

impl Tls {
    /// Creates a certificate in `dir`.
    pub fn create(dir: &path::Path) -> Self {
        let cert = rcgen::generate_simple_self_signed([String::from("127.0.0.1")]).unwrap();
        fs::write(dir.join("cert.pem"), cert.cert.pem()).unwrap();
        fs::write(dir.join("key.pem"), cert.signing_key.serialize_pem()).unwrap();
        let mut roots = rustls::RootCertStore::empty();
        roots.add(cert.cert.der().clone()).unwrap();
        let provider = sync::Arc::new(rustls::crypto::ring::default_provider());
        let config = rustls::ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .unwrap()
            .with_root_certificates(roots)
            .with_no_client_auth();
        Self(sync::Arc::new(config))
    }

    pub fn wrap(&self, stream: net::TcpStream) -> io::Result<Box<dyn Duplex>> {
        let name = pki_types::ServerName::try_from("127.0.0.1").unwrap();
        let client = rustls::ClientConnection::new(self.0.clone(), name);
        let client = client.map_err(io::Error::other)?;
        Ok(Box::new(rustls::StreamOwned::new(client, stream)))
    }
}
