//! The connection of a node to one control member.

use std::{net, sync, time};

use error_stack::ResultExt as _;

use crate::{
    ask_schedule, feed_error, feed_shared, feed_state, fleet_head, link_socket, member_message,
    node_message, pack, questions, server_connection, spread,
};

/// Time without an answer after which a connection is replaced. It leaves some slack for a slow
/// member.
const SILENCE: time::Duration = time::Duration::from_millis(1_300);

/// Time to open a connection. An opening packet to a host that is down is lost, and the next
/// one would be sent only after a second, when the host may long be back.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Time to open a connection over a congested link, on which the opening packets wait for longer
/// than [`CONNECT_TIMEOUT`].
const PATIENT_CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// One attempt in this many in a row waits for [`PATIENT_CONNECT_TIMEOUT`].
const PATIENT_ATTEMPT: u32 = 4;

/// Time for the handshake on a slow member.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Pause before a connection is opened again. It doubles up to the longest one.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Longest pause between two attempts to connect.
const LONGEST_PAUSE: time::Duration = time::Duration::from_millis(400);

type Result<T> = std::result::Result<T, error_stack::Report<feed_error::FeedError>>;
type Reader = lift_wire::FrameReader<tokio::net::tcp::OwnedReadHalf>;
type Writer = lift_wire::FrameWriter<tokio::net::tcp::OwnedWriteHalf>;

/// Keeps a connection to `address` for as long as a control member is expected there.
pub(crate) async fn run(shared: sync::Arc<feed_shared::Shared>, address: net::SocketAddr) {
    let mut pause = FIRST_PAUSE;
    let mut failures = 0;
    while shared.keep(address) {
        let mut link = Link {
            shared: sync::Arc::clone(&shared),
            address,
            questions: questions::Questions::default(),
        };
        let attempt: u32 = failures + 1;
        let timeout = match attempt.is_multiple_of(PATIENT_ATTEMPT) {
            true => PATIENT_CONNECT_TIMEOUT,
            false => CONNECT_TIMEOUT,
        };
        match link.connect(timeout).await {
            Ok((reader, writer)) => {
                let log = &shared.node.log;
                slog::info!(log, "control member connected"; "member" => address);
                (pause, failures) = (FIRST_PAUSE, 0);
                let ended = link.exchange(reader, writer).await;
                let error = ended.err().map(|e| e.to_string()).unwrap_or_default();
                slog::warn!(log, "control member lost"; "member" => address, "error" => error);
                shared.node.counters.increment("feed.link_lost");
                shared.state.lock().link_down(address);
            }
            Err(_) => {
                failures += 1;
                shared.node.counters.increment("feed.connect_failed");
            }
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

struct Link {
    shared: sync::Arc<feed_shared::Shared>,
    address: net::SocketAddr,
    questions: questions::Questions,
}

impl Link {
    async fn connect(&self, timeout: time::Duration) -> Result<(Reader, Writer)> {
        let node = &self.shared.node;
        let connecting = tokio::net::TcpStream::connect(self.address);
        let connected = tokio::time::timeout(timeout, connecting).await;
        let connected = connected.change_context(feed_error::FeedError::Connect)?;
        let stream = connected.change_context(feed_error::FeedError::Connect)?;
        link_socket::prepare_link(&stream, SILENCE);
        let opening = async {
            let purpose = lift_wire::Purpose::Feed;
            let (reader, mut writer) = lift_wire::connect(stream, &node.keys, purpose).await?;
            let hello = node_message::NodeMessage::Subscribe(node.card.clone());
            writer.send(&hello).await?;
            Ok((reader, writer))
        };
        let opened = server_connection::within(HANDSHAKE_TIMEOUT, opening).await;
        opened.change_context(feed_error::FeedError::Connect)
    }

    async fn exchange(&mut self, mut reader: Reader, mut writer: Writer) -> Result<()> {
        let mut ask = tokio::time::interval(ask_schedule::ASK_INTERVAL);
        let mut heard = lift_clock::now();
        let mut sightings = self.shared.sightings.sender();
        loop {
            tokio::select! {
                message = reader.recv() => {
                    heard = lift_clock::now();
                    let message = message.change_context(feed_error::FeedError::Link)?;
                    if self.take_in(message) == Next::Fetch {
                        push(&mut writer, &node_message::NodeMessage::Fetch)?;
                    }
                }
                _ = ask.tick() => {
                    let now = lift_clock::now();
                    if self.is_silent(now, heard) {
                        return Err(error_stack::Report::new(feed_error::FeedError::Silent));
                    }
                    self.measure_unanswered(now);
                    let leader_asked_at = self.shared.state.lock().leader_asked_at();
                    if !self.questions.schedule.is_due(now, leader_asked_at) {
                        continue;
                    }
                    push(&mut writer, &self.question(now))?;
                }
                batch = sightings.next() => {
                    push(&mut writer, &node_message::NodeMessage::PartSightings(batch))?;
                }
            }
            server_connection::within(SILENCE, writer.flush()).await?;
        }
    }

    /// Whether nothing has been heard for too long since the oldest question without an answer.
    fn is_silent(&self, now: time::Instant, heard: time::Instant) -> bool {
        let oldest = self.questions.oldest().map(|at| heard.max(at));
        oldest.is_some_and(|since| now.saturating_duration_since(since) > SILENCE)
    }

    /// Reports how long the oldest question has waited. On a congested link no answer arrives
    /// that could be measured.
    fn measure_unanswered(&self, now: time::Instant) {
        if let Some(at) = self.questions.oldest() {
            let waited = now.saturating_duration_since(at);
            self.shared.observer.on_unanswered(self.address, waited);
        }
    }

    fn question(&mut self, now: time::Instant) -> node_message::NodeMessage {
        let nonce = self.questions.ask(now);
        node_message::NodeMessage::Ask { nonce }
    }

    /// When the question was asked that `nonce` answers.
    fn asked_at(&mut self, nonce: u64) -> Option<time::Instant> {
        let now = lift_clock::now();
        let at = self.questions.answer(now, nonce)?;
        let round_trip = now.saturating_duration_since(at);
        self.shared.observer.on_round_trip(self.address, round_trip);
        Some(at)
    }

    fn take_in(&mut self, message: member_message::MemberMessage) -> Next {
        use member_message::MemberMessage as Message;
        let shared = sync::Arc::clone(&self.shared);
        let observer = &shared.observer;
        match message {
            Message::Members { members, highest } => {
                let feeds = members.iter().map(|m| m.feed);
                shared.state.lock().members.name(lift_clock::now(), feeds);
                observer.on_members(&members, highest);
            }
            Message::Head(head) => return self.take_head(lift_clock::now(), &head),
            Message::HeadAfter { nonce, head } => {
                if let Some(asked_at) = self.questions.dated(nonce) {
                    return self.take_head(asked_at, &head);
                }
            }
            Message::Document(document) => self.take_document(&document),
            Message::Backends(records) => observer.on_backends(records),
            Message::Nodes(nodes) => {
                self.change_nodes(|state, link| state.set_nodes(link, nodes));
            }
            Message::NodeUp(card) => self.change_nodes(|state, link| state.node_up(link, card)),
            Message::NodeDown(host) => {
                self.change_nodes(|state, link| state.node_down(link, host));
            }
            Message::Heard { nonce } => {
                self.questions.schedule.record_answer(false);
                self.asked_at(nonce);
            }
            Message::Confirmed { nonce, document } => {
                return self.take_confirmation(nonce, document);
            }
            Message::Join(_) => {}
            Message::PartSightings(sightings) => self.take_sightings(sightings),
        }
        Next::Read
    }

    /// Takes in versions that the member announced not before `at`. Their ages count from then.
    fn take_head(&self, at: time::Instant, head: &fleet_head::FleetHead) -> Next {
        let news = self.shared.state.lock().learn_weights(at, head);
        for (model, (version, named_at)) in news {
            let observer = &self.shared.observer;
            observer.on_weights(&model, version, named_at);
        }
        self.fetch(head.document)
    }

    fn fetch(&self, version: lift_fleet::DocumentVersion) -> Next {
        let is_wanted = self.shared.follows_documents();
        let interval = self.shared.node.card.kind.fetch_interval();
        let mut state = self.shared.state.lock();
        match is_wanted && state.start_fetch(lift_clock::now(), version, interval) {
            true => Next::Fetch,
            false => Next::Read,
        }
    }

    fn take_document(&self, document: &lift_fleet::Document) {
        let node = &self.shared.node;
        if !self.shared.state.lock().is_newer(document.version) {
            return;
        }
        let text = pack::unpack(&document.compressed);
        let decoded = text
            .map_err(|e| e.to_string())
            .and_then(|text| node.codec.decode(&text).map_err(|e| e.to_string()));
        let table = match decoded {
            Ok(table) => sync::Arc::new(table),
            Err(error) => {
                // Control accepted the document, so this node runs another version of the code.
                slog::error!(node.log, "accepted document can't be read";
                    "document" => document.version, "error" => error);
                node.counters.increment("feed.document_unreadable");
                self.shared.state.lock().refuse(document.version);
                return;
            }
        };
        // The table is passed on under the lock, so that of two documents that arrive over two
        // connections the newer one stays in force.
        let mut state = self.shared.state.lock();
        if state.is_newer(table.version()) {
            state.hold(lift_clock::now(), &table);
            slog::info!(node.log, "configuration in force"; "document" => table.version(),
                "routes" => table.route_count(), "member" => self.address);
            self.shared.observer.on_table(table);
        }
    }

    fn take_confirmation(&mut self, nonce: u64, version: lift_fleet::DocumentVersion) -> Next {
        self.questions.schedule.record_answer(true);
        let Some(asked_at) = self.asked_at(nonce) else {
            return Next::Read;
        };
        let mut state = self.shared.state.lock();
        state.record_leader(asked_at);
        if state.confirm(asked_at, version) {
            self.shared.observer.on_confirmed(asked_at);
            return Next::Read;
        }
        drop(state);
        self.fetch(version)
    }

    fn take_sightings(&self, sightings: Vec<lift_fleet::PartSighting>) {
        let shared = &self.shared;
        let news = shared.sightings.add(sightings, spread::Spread::Newcomers);
        if !news.is_empty() {
            shared.observer.on_part_sightings(news);
        }
    }

    fn change_nodes(
        &self,
        change: impl FnOnce(&mut feed_state::FeedState, net::SocketAddr) -> bool,
    ) {
        let mut state = self.shared.state.lock();
        if change(&mut state, self.address) {
            // Under the lock, so that the observer sees the changes in their order.
            self.shared.observer.on_nodes(state.nodes());
        }
    }
}

/// What follows from a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Read,
    Fetch,
}

fn push(writer: &mut Writer, message: &node_message::NodeMessage) -> Result<()> {
    let pushed = writer.push(message);
    pushed.change_context(feed_error::FeedError::Link)
}
