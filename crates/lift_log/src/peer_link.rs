//! The task that sends to one member.

use std::{net, sync, time};

use error_stack::ResultExt as _;
use tokio::sync::mpsc;

use crate::{binding, node, peer_frame, peer_links};

/// Heartbeats without an answer after which a connection is replaced. Short against the
/// failover target, since all connections of a leader may stop delivering at once. Pings are
/// as frequent as heartbeats.
const SILENT_HEARTBEATS: u32 = 5;

/// Time between two attempts to open a connection.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Messages that share one write at most.
const MAX_GROUP: usize = 32;

type Report = error_stack::Report<lift_wire::WireError>;
type Reader = lift_wire::FrameReader<tokio::net::tcp::OwnedReadHalf>;
type Writer = lift_wire::FrameWriter<tokio::net::tcp::OwnedWriteHalf>;

/// What a link needs besides its queue.
#[derive(Clone, Debug)]
pub(crate) struct LinkContext {
    pub(crate) node: sync::Arc<node::Node>,
    pub(crate) keys: lift_wire::LinkKeys,
    /// Where this member accepts connections.
    pub(crate) own_address: net::SocketAddr,
}

/// Sends the messages of one queue until the queue is dropped. A connection that fails or
/// is silent is replaced; what was queued meanwhile is dropped.
pub(crate) async fn run(cx: LinkContext, mut link: peer_links::NewLink) {
    let cancel = cx.node.cancel.clone();
    let _ = cancel.run_until_cancelled(serve(&cx, &mut link)).await;
}

async fn serve(cx: &LinkContext, link: &mut peer_links::NewLink) {
    loop {
        if let Err(e) = connected(cx, link).await {
            cx.node.counters.increment("log.link_closed");
            slog::debug!(cx.node.log, "link closed"; "to" => link.to, "error" => %e);
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
        loop {
            match link.messages.try_recv() {
                Ok(_) => {}
                Err(mpsc::error::TryRecvError::Empty) => break,
                Err(mpsc::error::TryRecvError::Disconnected) => return,
            }
        }
    }
}

/// Opens a connection and sends until it fails or the queue is dropped.
async fn connected(cx: &LinkContext, link: &mut peer_links::NewLink) -> Result<(), Report> {
    let silence = cx.node.timing.heartbeat_interval * SILENT_HEARTBEATS;
    let generation = match &cx.node.switch {
        Some(switch) => switch.open(cx.node.id, link.to).ok_or_else(closed)?,
        None => 0,
    };
    let opened = tokio::time::timeout(silence, open(cx, link));
    let (mut reader, mut writer) = opened.await.map_err(|_| closed())??;
    let mut ping = tokio::time::interval(cx.node.timing.heartbeat_interval);
    let mut heard = lift_clock::now();
    loop {
        let delivers = || match &cx.node.switch {
            Some(switch) => switch.delivers(cx.node.id, link.to, generation),
            None => true,
        };
        tokio::select! {
            message = link.messages.recv() => {
                let Some(message) = message else { return Ok(()) };
                push_group(&mut writer, message, &mut link.messages)?;
            }
            frame = reader.recv::<peer_frame::PeerFrame>() => {
                frame?;
                heard = lift_clock::now();
                continue;
            }
            _ = ping.tick() => writer.push(&peer_frame::PeerFrame::Ping)?,
        }
        if lift_clock::now().saturating_duration_since(heard) > silence {
            return Err(closed());
        }
        if delivers() {
            flush(&mut writer, silence).await?;
        }
    }
}

async fn open(cx: &LinkContext, link: &peer_links::NewLink) -> Result<(Reader, Writer), Report> {
    let stream = tokio::net::TcpStream::connect(link.address)
        .await
        .change_context(lift_wire::WireError::Closed)?;
    let purpose = lift_wire::Purpose::ControlPeer;
    let (mut reader, mut writer) = lift_wire::connect(stream, &cx.keys, purpose).await?;
    let hello = peer_frame::PeerFrame::Hello {
        member: cx.node.id,
        disk: cx.node.bindings.own_disk(),
        peer: cx.own_address,
    };
    writer.send(&hello).await?;
    match reader.recv().await? {
        peer_frame::PeerFrame::Welcome {
            member,
            disk,
            voters,
        } if member == link.to => {
            match cx.node.bind(member, disk).await {
                binding::Binding::Bound => {}
                binding::Binding::OtherDisk => {
                    slog::warn!(cx.node.log, "a member has another disk"; "from" => member);
                    return Err(closed());
                }
                binding::Binding::NotSaved => return Err(closed()),
            }
            cx.node.bound_by(member, &voters).await;
            Ok((reader, writer))
        }
        peer_frame::PeerFrame::WrongDisk => {
            slog::crit!(cx.node.log,
                "the disk of this member was replaced; start it under a new member id";
                "seen_by" => link.to);
            cx.node
                .is_replaced
                .store(true, sync::atomic::Ordering::Release);
            cx.node.shut_down();
            Err(closed())
        }
        _ => Err(closed()),
    }
}

/// Adds `first` and the messages that wait to the buffer.
fn push_group(
    writer: &mut Writer,
    first: lift_consensus::Message,
    messages: &mut mpsc::Receiver<lift_consensus::Message>,
) -> Result<(), Report> {
    writer.push(&peer_frame::PeerFrame::Message(first))?;
    for _ in 1..MAX_GROUP {
        let Ok(message) = messages.try_recv() else {
            break;
        };
        writer.push(&peer_frame::PeerFrame::Message(message))?;
    }
    Ok(())
}

async fn flush(writer: &mut Writer, limit: time::Duration) -> Result<(), Report> {
    let flushed = tokio::time::timeout(limit, writer.flush()).await;
    flushed.map_err(|_| closed())?
}

fn closed() -> Report {
    error_stack::Report::new(lift_wire::WireError::Closed)
}
