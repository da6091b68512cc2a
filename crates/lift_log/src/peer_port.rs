//! The port at which a member accepts the others.

use std::time;

use crate::{binding, node, peer_frame, peer_link};

/// Time for the handshake of a connection.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Silence after which an accepted connection is closed. The other end pings more often.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Pause after an error of the listener, for instance when files run out.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

type Report = error_stack::Report<lift_wire::WireError>;

/// Accepts connections until the member stops.
pub(crate) async fn run(
    cx: peer_link::LinkContext,
    listener: tokio::net::TcpListener,
    tasks: tokio_util::task::TaskTracker,
) {
    let cancel = cx.node.cancel.clone();
    loop {
        let Some(accepted) = cancel.run_until_cancelled(listener.accept()).await else {
            return;
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let cx = cx.clone();
        tasks.spawn(async move {
            let cancel = cx.node.cancel.clone();
            let served = cancel.run_until_cancelled(serve(&cx, stream)).await;
            if let Some(Err(e)) = served {
                slog::debug!(cx.node.log, "connection of a member ended"; "error" => %e);
            }
        });
    }
}

async fn serve(cx: &peer_link::LinkContext, stream: tokio::net::TcpStream) -> Result<(), Report> {
    let purpose = lift_wire::Purpose::ControlPeer;
    let accepted = tokio::time::timeout(
        HANDSHAKE_TIMEOUT,
        lift_wire::accept(stream, &cx.keys, purpose),
    );
    let (mut reader, mut writer) = accepted.await.map_err(|_| closed())??;
    let first = tokio::time::timeout(HANDSHAKE_TIMEOUT, reader.recv()).await;
    let peer_frame::PeerFrame::Hello { member, disk, peer } = first.map_err(|_| closed())?? else {
        return Err(error_stack::Report::new(lift_wire::WireError::Decode));
    };
    let generation = generation(&cx.node, member);
    if generation.is_none() {
        return Err(closed());
    }
    match cx.node.bind(member, disk).await {
        binding::Binding::Bound => {}
        binding::Binding::OtherDisk => {
            slog::warn!(cx.node.log, "a member came with another disk"; "from" => member);
            cx.node.counters.increment("log.wrong_disk");
            return writer.send(&peer_frame::PeerFrame::WrongDisk).await;
        }
        binding::Binding::NotSaved => return Err(closed()),
    }
    let welcome = peer_frame::PeerFrame::Welcome {
        member: cx.node.id,
        disk: cx.node.bindings.own_disk(),
        voters: cx.node.replica.lock().members().voters().collect(),
    };
    writer.send(&welcome).await?;
    cx.node.links.open(member, peer);
    loop {
        let frame = tokio::time::timeout(IDLE_TIMEOUT, reader.recv()).await;
        let frame = frame.map_err(|_| closed())??;
        if generation != self::generation(&cx.node, member) {
            continue;
        }
        match frame {
            peer_frame::PeerFrame::Message(message) if message.from == member => {
                cx.node.step(lift_consensus::Event::Message(message));
            }
            peer_frame::PeerFrame::Ping => {
                let pong = writer.send(&peer_frame::PeerFrame::Pong);
                tokio::time::timeout(IDLE_TIMEOUT, pong)
                    .await
                    .map_err(|_| closed())??;
            }
            _ => return Err(error_stack::Report::new(lift_wire::WireError::Decode)),
        }
    }
}

/// Generation of the link to `member`, or `None` where a test has cut it.
fn generation(node: &node::Node, member: lift_types::MemberId) -> Option<u64> {
    match &node.switch {
        Some(switch) => switch.open(node.id, member),
        None => Some(0),
    }
}

fn closed() -> Report {
    error_stack::Report::new(lift_wire::WireError::Closed)
}
