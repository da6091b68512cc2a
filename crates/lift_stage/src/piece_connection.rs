//! Connections between agents.

use std::{net, time};

use error_stack::ResultExt as _;

use crate::piece_message;

type Result<T> = std::result::Result<T, error_stack::Report<lift_wire::WireError>>;

/// Reads messages of the other agent.
pub(crate) type Reader = lift_wire::FrameReader<tokio::net::tcp::OwnedReadHalf>;

/// Writes messages to the other agent.
pub(crate) type Writer = lift_wire::FrameWriter<tokio::net::tcp::OwnedWriteHalf>;

/// Connects to the agent at `address` and sends the first message. Sent bytes that are not
/// acknowledged for `silence` end the connection. The caller limits the time to open it.
pub(crate) async fn open(
    keys: &lift_wire::LinkKeys,
    address: net::SocketAddr,
    silence: time::Duration,
    first: &piece_message::PieceMessage,
) -> Result<(Reader, Writer)> {
    let stream = tokio::net::TcpStream::connect(address).await;
    let stream = stream.change_context(lift_wire::WireError::Closed)?;
    lift_feed::prepare_link(&stream, silence);
    let purpose = lift_wire::Purpose::Pieces;
    let (reader, mut writer) = lift_wire::connect(stream, keys, purpose).await?;
    writer.send(first).await?;
    Ok((reader, writer))
}

/// Waits for a step of a connection, but not for ever.
pub(crate) async fn within<T>(
    limit: time::Duration,
    step: impl Future<Output = Result<T>>,
) -> Result<T> {
    let done = tokio::time::timeout(limit, step).await;
    done.map_err(|_| error_stack::Report::new(lift_wire::WireError::Closed))?
}
