//! Probes of the systems at the borders.

use std::net;

use error_stack::ResultExt as _;

use crate::http_error;

/// Opens a connection to `address` and closes it again, without a request.
///
/// # Errors
///
/// Returns [`http_error::HttpError::NotConnected`] where the connection is refused. The caller
/// limits the time.
pub async fn reach(
    address: net::SocketAddr,
) -> Result<(), error_stack::Report<http_error::HttpError>> {
    let stream = tokio::net::TcpStream::connect(address).await;
    stream
        .map(drop)
        .change_context(http_error::HttpError::NotConnected)
}
