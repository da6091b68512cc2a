//! A caller that speaks HTTP/1.0.

use std::{net, time};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Calls a route and returns everything that arrives until the connection ends.
pub(crate) async fn call_as_old_caller(gateway: net::SocketAddr, route: &str, id: &str) -> String {
    call_as_old_caller_after(time::Duration::ZERO, gateway, route, id).await
}

/// Connects, and sends the request after a pause.
pub(crate) async fn call_as_old_caller_after(
    pause: time::Duration,
    gateway: net::SocketAddr,
    route: &str,
    id: &str,
) -> String {
    let mut stream = tokio::net::TcpStream::connect(gateway).await.unwrap();
    tokio::time::sleep(pause).await;
    let req = format!("GET /{route}/x HTTP/1.0\r\nhost: h\r\nx-id: {id}\r\nx-key: k1\r\n\r\n");
    // A reset ends the answer as well as an end of the stream does.
    let _ = stream.write_all(req.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}
