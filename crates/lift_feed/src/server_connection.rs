//! One connection of the feed server.

use std::{sync, time};

use error_stack::ResultExt as _;
use tokio::sync::mpsc;

use crate::{
    feed_error, feed_server, link_socket, member_message, node_card, node_kind, node_message,
    spread, subscriber,
};

/// Time for the handshake and the first message.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Silence after which a node is disconnected. Nodes ask several times in this time.
const SILENCE: time::Duration = time::Duration::from_secs(3);

/// Messages that may wait for one node.
const QUEUED_MESSAGES: usize = 256;

type Result<T> = std::result::Result<T, error_stack::Report<feed_error::FeedError>>;
type Reader = lift_wire::FrameReader<tokio::net::tcp::OwnedReadHalf>;
type Writer = lift_wire::FrameWriter<tokio::net::tcp::OwnedWriteHalf>;

/// Serves one connection until it ends.
pub(crate) async fn serve(
    server: sync::Arc<feed_server::FeedServer>,
    stream: tokio::net::TcpStream,
) {
    let peer = stream.peer_addr();
    if let Err(e) = handle(&server, stream).await {
        server.counters.increment("feed.server_link_ended");
        slog::debug!(server.log, "feed connection ended"; "peer" => ?peer, "error" => %e);
    }
}

async fn handle(server: &feed_server::FeedServer, stream: tokio::net::TcpStream) -> Result<()> {
    link_socket::prepare_link(&stream, SILENCE);
    let accepted = lift_wire::accept(stream, &server.keys, lift_wire::Purpose::Feed);
    let (mut reader, mut writer) = within(START_TIMEOUT, accepted).await?;
    match within(START_TIMEOUT, reader.recv()).await? {
        node_message::NodeMessage::Subscribe(card) => {
            subscription(server, card, reader, writer).await
        }
        node_message::NodeMessage::Join(newcomer) => {
            let answer = server.source.join(newcomer).await;
            slog::info!(server.log, "join asked"; "peer" => newcomer.peer,
                "answer" => ?answer);
            let message = member_message::MemberMessage::Join(answer);
            within(START_TIMEOUT, writer.send(&message)).await
        }
        _ => Err(error_stack::Report::new(feed_error::FeedError::Link)),
    }
}

async fn subscription(
    server: &feed_server::FeedServer,
    card: node_card::NodeCard,
    reader: Reader,
    mut writer: Writer,
) -> Result<()> {
    let (messages, queue) = mpsc::channel(QUEUED_MESSAGES);
    let stop = tokio_util::sync::CancellationToken::new();
    let subscriber = subscriber::Subscriber {
        card: card.clone(),
        messages,
        stop: stop.clone(),
    };
    // The subscription starts before the state is read, so that no change is missed.
    let id = server.subscribers.insert(subscriber);
    if card.kind != node_kind::NodeKind::Control {
        let message = member_message::MemberMessage::NodeUp(card.clone());
        server.subscribers.publish(message, wants_nodes);
    }
    slog::info!(server.log, "node connected"; "host" => card.location.host,
        "kind" => ?card.kind);
    let served = async {
        push_state(server, card.kind, &mut writer)?;
        within(SILENCE, writer.flush()).await?;
        exchange(server, card.kind, queue, reader, writer).await
    };
    let ended = tokio::select! {
        ended = served => ended,
        () = stop.cancelled() => Err(error_stack::Report::new(feed_error::FeedError::Silent)),
    };
    let is_last = server.subscribers.remove(id);
    if is_last && card.kind != node_kind::NodeKind::Control {
        let message = member_message::MemberMessage::NodeDown(card.location.host);
        server.subscribers.publish(message, wants_nodes);
    }
    slog::info!(server.log, "node disconnected"; "host" => card.location.host,
        "kind" => ?card.kind);
    ended
}

fn wants_nodes(card: &node_card::NodeCard) -> bool {
    card.kind != node_kind::NodeKind::Control
}

fn push_state(
    server: &feed_server::FeedServer,
    kind: node_kind::NodeKind,
    writer: &mut Writer,
) -> Result<()> {
    use member_message::MemberMessage as Message;
    let (members, highest) = server.source.members();
    push(writer, &Message::Members { members, highest })?;
    push(writer, &Message::Head(server.source.head()))?;
    if kind.follows_backends() {
        push(writer, &Message::Backends(server.source.backends()))?;
    }
    push(writer, &Message::Nodes(server.subscribers.nodes()))
}

async fn exchange(
    server: &feed_server::FeedServer,
    kind: node_kind::NodeKind,
    mut queue: mpsc::Receiver<sync::Arc<member_message::MemberMessage>>,
    mut reader: Reader,
    mut writer: Writer,
) -> Result<()> {
    let mut sightings = server.sightings.sender();
    loop {
        tokio::select! {
            message = queue.recv() => {
                let Some(message) = message else { return Ok(()) };
                push_queued(server, &mut writer, &message)?;
                while let Ok(message) = queue.try_recv() {
                    push_queued(server, &mut writer, &message)?;
                }
            }
            message = within(SILENCE, reader.recv()) => {
                answer(server, kind, message?, &mut writer)?;
            }
            batch = sightings.next(), if kind.follows_sightings() => {
                push(&mut writer, &member_message::MemberMessage::PartSightings(batch))?;
            }
        }
        within(SILENCE, writer.flush()).await?;
    }
}

fn answer(
    server: &feed_server::FeedServer,
    kind: node_kind::NodeKind,
    message: node_message::NodeMessage,
    writer: &mut Writer,
) -> Result<()> {
    match message {
        node_message::NodeMessage::Ask { nonce } => {
            let answer = match server.source.confirm() {
                Some(confirmation) => member_message::MemberMessage::Confirmed {
                    nonce,
                    confirmation,
                },
                None => member_message::MemberMessage::Heard { nonce },
            };
            push(writer, &answer)?;
            let head = server.source.head();
            // Members learn from it what was not named yet when they asked.
            match kind == node_kind::NodeKind::Control || head.has_recent_weights() {
                true => push(
                    writer,
                    &member_message::MemberMessage::HeadAfter { nonce, head },
                ),
                false => Ok(()),
            }
        }
        node_message::NodeMessage::Fetch => {
            let Some(document) = server.source.document() else {
                return Ok(());
            };
            let document = lift_fleet::Document::clone(&document);
            push(writer, &member_message::MemberMessage::Document(document))
        }
        node_message::NodeMessage::FetchHead => {
            let head = server.source.head();
            push(writer, &member_message::MemberMessage::Head(head))
        }
        node_message::NodeMessage::PartSightings(sightings) => {
            server.sightings.add(sightings, spread::Spread::All);
            Ok(())
        }
        _ => Err(error_stack::Report::new(feed_error::FeedError::Link)),
    }
}

/// Sends a message that may have waited. A head is read anew, so that the ages in it are those of
/// this moment: the node takes them for such.
fn push_queued(
    server: &feed_server::FeedServer,
    writer: &mut Writer,
    message: &member_message::MemberMessage,
) -> Result<()> {
    match message {
        member_message::MemberMessage::Head(_) => {
            let head = server.source.head();
            push(writer, &member_message::MemberMessage::Head(head))
        }
        message => push(writer, message),
    }
}

fn push(writer: &mut Writer, message: &member_message::MemberMessage) -> Result<()> {
    let pushed = writer.push(message);
    pushed.change_context(feed_error::FeedError::Link)
}

/// Waits for a step of the connection, but not for ever.
pub(crate) async fn within<T>(
    limit: time::Duration,
    step: impl Future<Output = std::result::Result<T, error_stack::Report<lift_wire::WireError>>>,
) -> Result<T> {
    match tokio::time::timeout(limit, step).await {
        Ok(result) => result.change_context(feed_error::FeedError::Link),
        Err(_) => Err(error_stack::Report::new(feed_error::FeedError::Silent)),
    }
}
