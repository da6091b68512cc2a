//! Asks another agent for pieces.

use std::{sync, time};

use tokio::sync::mpsc;

use crate::{fetch, link_patience, piece_connection, piece_message};

/// Time between two looks at the silence. Each sends a ping.
const PING_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Pause before a connection is opened again.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(300);

type Result<T> = std::result::Result<T, error_stack::Report<lift_wire::WireError>>;

/// Asks for the pieces in `queue` and reports what comes, until the task is dropped.
pub(crate) async fn run(
    fetch: sync::Arc<fetch::Fetch>,
    peer: lift_transfer::SwarmPeer,
    mut queue: mpsc::UnboundedReceiver<lift_types::ChunkIndex>,
) {
    let host = peer.location.host;
    loop {
        if ask(&fetch, &peer, &mut queue).await.is_err() {
            fetch.step(lift_transfer::DownloadEvent::PeerDown { host });
            if fetch.shared.link_patience().may_suspect {
                fetch.suspect(host, true);
            }
        }
        while queue.try_recv().is_ok() {}
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

async fn ask(
    fetch: &sync::Arc<fetch::Fetch>,
    peer: &lift_transfer::SwarmPeer,
    queue: &mut mpsc::UnboundedReceiver<lift_types::ChunkIndex>,
) -> Result<()> {
    let host = peer.location.host;
    let want = fetch.want();
    let limit = link_patience::LinkPatience::MAX_SILENCE;
    let opening = piece_connection::open(fetch.keys(), peer.chunk_addr, limit, &want);
    let connect_timeout = fetch.shared.link_patience().connect;
    let (mut reader, mut writer) = piece_connection::within(connect_timeout, opening).await?;
    let location = peer.location.clone();
    fetch.step(lift_transfer::DownloadEvent::PeerUp { location });
    fetch.suspect(host, false);
    let mut ping = tokio::time::interval(PING_INTERVAL);
    let mut heard = lift_clock::now();
    loop {
        tokio::select! {
            message = reader.recv() => {
                heard = lift_clock::now();
                take_in(fetch, host, message?).await;
            }
            index = queue.recv() => {
                let Some(index) = index else { return Ok(()) };
                let get = piece_message::PieceMessage::Get(index);
                piece_connection::within(limit, writer.send(&get)).await?;
            }
            _ = ping.tick() => {
                let silence = lift_clock::now().saturating_duration_since(heard);
                if silence > fetch.shared.link_patience().silence {
                    return Err(error_stack::Report::new(lift_wire::WireError::Closed));
                }
                let ping = piece_message::PieceMessage::Ping;
                piece_connection::within(limit, writer.send(&ping)).await?;
            }
        }
    }
}

async fn take_in(
    fetch: &sync::Arc<fetch::Fetch>,
    host: lift_types::HostId,
    message: piece_message::PieceMessage,
) {
    use lift_transfer::DownloadEvent as Event;
    let source = lift_transfer::Source::Peer(host);
    match message {
        piece_message::PieceMessage::Have(chunks) => fetch.step(Event::Have { host, chunks }),
        piece_message::PieceMessage::Piece { index, bytes } => {
            fetch.arrive(index, bytes, source).await;
        }
        piece_message::PieceMessage::Busy(chunk) => fetch.step(Event::Refused {
            chunk,
            source,
            retry_after: None,
        }),
        piece_message::PieceMessage::Missing(chunk) => fetch.step(Event::Missing { chunk, host }),
        piece_message::PieceMessage::Unknown
        | piece_message::PieceMessage::Want { .. }
        | piece_message::PieceMessage::AskManifest { .. }
        | piece_message::PieceMessage::Manifest(_)
        | piece_message::PieceMessage::Get(_)
        | piece_message::PieceMessage::Ping => {}
    }
}
