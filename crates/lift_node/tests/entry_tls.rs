//! Guards against a caller listener that speaks plain HTTP although a certificate is given,
//! and against roles that start with settings that they can't use.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{fs, net, path, sync};

use rustls::pki_types;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

fn any_port() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 0))
}

fn settings(dir: &path::Path) -> lift_settings::Settings {
    fs::write(dir.join("link.key"), "7a".repeat(32)).unwrap();
    fs::create_dir_all(dir.join("control")).unwrap();
    let settings = serde_json::json!({
        "host": 1, "region": "uusimaa", "failure_domain": "uusimaa-1",
        "roles": ["control", "entry"],
        "link_keys": {"current": {"id": 1, "file": dir.join("link.key")}},
        "control": {
            "peer_listener": any_port(), "client_listener": any_port(), "member": 1,
            "members": [{"id": 1, "peer_addr": any_port(), "client_addr": any_port()}],
            "data_dir": dir.join("control")
        },
        "entry": {
            "caller_listener": any_port(), "admin_listener": any_port(),
            "relay_listener": any_port(), "heartbeat_listener": any_port(),
            "control_addrs": [any_port()],
            "tls": {"certificate": dir.join("cert.pem"), "key": dir.join("key.pem")}
        }
    });
    lift_settings::Settings::parse(&settings.to_string()).unwrap()
}

async fn status_line(
    stream: &mut (impl tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin),
) -> String {
    let request = b"GET /health HTTP/1.0\r\nhost: x\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let text = String::from_utf8_lossy(&answer).into_owned();
    String::from(text.lines().next().unwrap_or_default())
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_need_tls_where_a_certificate_is_given() {
    let dir = tempfile::tempdir().unwrap();
    let settings = settings(dir.path());
    let log = lift_obs::LogConfig::discard();
    let failed = lift_node::Node::start(&settings, log.clone()).await;
    let error = failed.map(drop).unwrap_err();
    assert_eq!(error.current_context(), &lift_node::NodeError::Entry);

    let cert = rcgen::generate_simple_self_signed([String::from("127.0.0.1")]).unwrap();
    fs::write(dir.path().join("cert.pem"), cert.cert.pem()).unwrap();
    fs::write(dir.path().join("key.pem"), cert.signing_key.serialize_pem()).unwrap();
    let node = lift_node::Node::start(&settings, log).await.unwrap();
    let addr = node.addrs().caller.unwrap();

    let mut roots = rustls::RootCertStore::empty();
    roots.add(cert.cert.der().clone()).unwrap();
    let provider = sync::Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let connector = tokio_rustls::TlsConnector::from(sync::Arc::new(config));
    let name = pki_types::ServerName::try_from("127.0.0.1").unwrap();
    let stream = tokio::net::TcpStream::connect(addr).await.unwrap();
    let mut tls = connector.connect(name, stream).await.unwrap();
    assert!(status_line(&mut tls).await.contains(" 200 "));
    let mut plain = tokio::net::TcpStream::connect(addr).await.unwrap();
    assert!(!status_line(&mut plain).await.contains(" 200 "));

    let report = node.stop(settings.grace()).await;
    assert_eq!(report.cut_off, 0);
}
