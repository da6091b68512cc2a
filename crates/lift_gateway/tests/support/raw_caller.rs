//! A caller that looks at the bytes of its answer.

use std::net;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Calls a route over HTTP/1.1 and returns everything that arrives until the connection ends.
pub(crate) async fn call_raw(gateway: net::SocketAddr, route: &str, id: &str) -> String {
    let req = format!(
        "GET /{route}/x HTTP/1.1\r\nhost: h\r\nx-id: {id}\r\nx-key: k1\r\nconnection: close\r\n\r\n"
    );
    send_raw(gateway, &req).await
}

/// Sends `req` as it is and returns everything that arrives until the connection ends.
pub(crate) async fn send_raw(gateway: net::SocketAddr, req: &str) -> String {
    let mut stream = tokio::net::TcpStream::connect(gateway).await.unwrap();
    stream.write_all(req.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    // A reset ends the answer as well as an end of the stream does.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}
