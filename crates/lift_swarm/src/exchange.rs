//! Connections for chunk exchange.

use std::{sync, time};

use error_stack::ResultExt as _;
use tokio::{net, sync as tokio_sync, time as tokio_time};
use tokio_util::sync as util_sync;

use crate::{agent, peer_link};

/// Timeout of the handshake on a new connection, including the exchange of `Hello` messages.
const OPEN_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Time without received bytes after which a connection is closed. A device on the path may
/// have lost the state of the connection without an error at either end.
const SILENCE_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Idle time after which a ping is sent. Several pings fit into [`SILENCE_LIMIT`].
const PING_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Timeout of one write. After it, the other end is considered not to read any more.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Maximum number of connections of one agent.
const MAX_LINKS: usize = 256;

type Reader = lift_wire::FrameReader<net::tcp::OwnedReadHalf>;
type Writer = lift_wire::FrameWriter<net::tcp::OwnedWriteHalf>;
type Result<T> = std::result::Result<T, error_stack::Report<lift_wire::WireError>>;

/// Direction in which a connection was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    Outbound,
    Inbound,
}

/// Runs one connection until it ends.
pub(crate) async fn run(
    agent: sync::Arc<agent::Agent>,
    stream: net::TcpStream,
    direction: Direction,
) {
    let Ok(Ok((reader, writer, link, rx))) =
        tokio_time::timeout(OPEN_TIMEOUT, open(&agent, stream, direction)).await
    else {
        agent.counters.increment("chunk_link_refused");
        return;
    };
    let host = link.location.host;
    if !add_link(&agent, &link) {
        agent.counters.increment("chunk_link_doubled");
        return;
    }
    agent.handle_link_up(&link);
    let close = link.close.clone();
    tokio::select! {
        () = close.cancelled() => {}
        () = agent.stop.cancelled() => {}
        _ = read(&agent, host, reader) => {}
        _ = write(writer, rx) => {}
    }
    close.cancel();
    remove_link(&agent, &link);
}

async fn open(
    agent: &agent::Agent,
    stream: net::TcpStream,
    direction: Direction,
) -> Result<(
    Reader,
    Writer,
    peer_link::PeerLink,
    tokio_sync::mpsc::Receiver<peer_link::OutgoingMessage>,
)> {
    let purpose = lift_wire::Purpose::Chunks;
    let (mut reader, mut writer) = match direction {
        Direction::Outbound => lift_wire::connect(stream, &agent.keys, purpose).await?,
        Direction::Inbound => lift_wire::accept(stream, &agent.keys, purpose).await?,
    };
    let hello = lift_wire::ChunkMessage::Hello {
        location: agent.location.clone(),
        incarnation: agent.incarnation,
    };
    writer.send(&hello).await?;
    let lift_wire::ChunkMessage::Hello {
        location,
        incarnation,
    } = reader.recv().await?
    else {
        return Err(error_stack::Report::new(lift_wire::WireError::Decode));
    };
    let dialer = match direction {
        Direction::Outbound => agent.location.host,
        Direction::Inbound => location.host,
    };
    let (tx, rx) = tokio_sync::mpsc::channel(peer_link::QUEUE_MESSAGES);
    let link = peer_link::PeerLink {
        location,
        incarnation,
        dialer,
        interest: None,
        tx,
        close: util_sync::CancellationToken::new(),
    };
    Ok((reader, writer, link, rx))
}

fn add_link(agent: &agent::Agent, link: &peer_link::PeerLink) -> bool {
    let host = link.location.host;
    let count = agent.links.fold(0, |count, links| count + links.len());
    if host == agent.location.host || count >= MAX_LINKS {
        return false;
    }
    agent.links.with(&host, |links| {
        if let Some(old) = links.get(&host) {
            if !link.replaces(old, agent.location.host) {
                return false;
            }
            old.close.cancel();
        }
        links.insert(host, link.clone());
        true
    })
}

/// Removes a link unless another connection has replaced it.
fn remove_link(agent: &sync::Arc<agent::Agent>, link: &peer_link::PeerLink) {
    let host = link.location.host;
    let removed = agent.links.with(&host, |links| {
        let is_same = links
            .get(&host)
            .is_some_and(|current| current.tx.same_channel(&link.tx));
        if is_same {
            links.swap_remove(&host);
        }
        is_same
    });
    if removed {
        agent.handle_link_down(host);
    }
}

async fn read(
    agent: &sync::Arc<agent::Agent>,
    host: lift_types::HostId,
    mut reader: Reader,
) -> Result<()> {
    loop {
        let message = recv(&mut reader).await?;
        agent.handle_message(host, message);
    }
}

/// Reads the next message. A long message may take longer than [`SILENCE_LIMIT`] as long as
/// bytes of it arrive.
async fn recv(reader: &mut Reader) -> Result<lift_wire::ChunkMessage> {
    loop {
        let before = reader.buffered();
        match tokio_time::timeout(SILENCE_LIMIT, reader.recv()).await {
            Ok(message) => return message,
            Err(_) if reader.buffered() != before => {}
            Err(elapsed) => {
                return Err(elapsed).change_context(lift_wire::WireError::Closed);
            }
        }
    }
}

async fn write(
    mut writer: Writer,
    mut rx: tokio_sync::mpsc::Receiver<peer_link::OutgoingMessage>,
) -> Result<()> {
    loop {
        let Ok(next) = tokio_time::timeout(PING_INTERVAL, rx.recv()).await else {
            write_message(&mut writer, &lift_wire::ChunkMessage::Ping).await?;
            continue;
        };
        let Some(outgoing) = next else {
            return Ok(());
        };
        write_message(&mut writer, &outgoing.message).await?;
        if let Some(written) = outgoing.written {
            let _ = written.send(());
        }
    }
}

async fn write_message(writer: &mut Writer, message: &lift_wire::ChunkMessage) -> Result<()> {
    tokio_time::timeout(WRITE_TIMEOUT, writer.send(message))
        .await
        .change_context(lift_wire::WireError::Closed)?
}
