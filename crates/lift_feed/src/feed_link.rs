//! The connection of a node to one control member.

use std::{net, sync, time};

use error_stack::ResultExt as _;

use crate::{
    ask_schedule, confirmation, feed_error, feed_shared, feed_state, fleet_head, link_socket,
    member_message, node_message, questions, server_connection, spread,
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
            questions: questions::Questions::new(lift_clock::now()),
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
                    if let Some(wanted) = self.take_in(message) {
                        push(&mut writer, &wanted)?;
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

    /// Records the answer to the question `nonce`, and returns when that was asked.
    fn take_answer(&mut self, nonce: u64, is_confirmed: bool) -> Option<time::Instant> {
        let now = lift_clock::now();
        let at = self.questions.answer(nonce, is_confirmed)?;
        let round_trip = now.saturating_duration_since(at);
        self.shared.observer.on_round_trip(self.address, round_trip);
        Some(at)
    }

    /// Takes in a message. Returns what to ask for next, if anything.
    fn take_in(
        &mut self,
        message: member_message::MemberMessage,
    ) -> Option<node_message::NodeMessage> {
        use member_message::MemberMessage as Message;
        let shared = sync::Arc::clone(&self.shared);
        let observer = &shared.observer;
        match message {
            Message::Members { members, highest } => {
                let feeds = members.iter().map(|m| m.feed);
                shared.state.lock().members.name(lift_clock::now(), feeds);
                observer.on_members(&members, highest);
            }
            Message::Head(head) => return self.take_head(self.questions.written_after(), &head),
            Message::HeadAfter { nonce, head } => {
                if let Some(answered) = self.questions.answered(nonce) {
                    if answered.is_confirmed {
                        observer.on_leader_head(answered.asked_at, &head);
                    }
                    return self.take_head(answered.asked_at, &head);
                }
            }
            Message::Document(document) => shared.take_document(self.address, &document),
            Message::Backends(records) => observer.on_backends(records),
            Message::Nodes(nodes) => {
                self.change_nodes(|state, link| state.set_nodes(link, nodes));
            }
            Message::NodeUp(card) => self.change_nodes(|state, link| state.node_up(link, card)),
            Message::NodeDown(host) => {
                self.change_nodes(|state, link| state.node_down(link, host));
            }
            Message::Heard { nonce } => {
                self.take_answer(nonce, false);
            }
            Message::Confirmed {
                nonce,
                confirmation,
            } => return self.take_confirmation(nonce, confirmation),
            Message::Join(_) => {}
            Message::PartSightings(sightings) => self.take_sightings(sightings),
        }
        None
    }

    /// Takes in versions that the member has announced at `at` or later. Their ages count from then,
    /// so that they never look younger than they are.
    fn take_head(
        &self,
        at: time::Instant,
        head: &fleet_head::FleetHead,
    ) -> Option<node_message::NodeMessage> {
        let news = self.shared.state.lock().learn_weights(at, head);
        for (model, named) in news {
            let observer = &self.shared.observer;
            observer.on_weights(&model, named.version, named.not_before);
        }
        self.shared
            .take_evacuations(self.address, &head.evacuations);
        self.fetch(head.document)
    }

    fn fetch(&self, version: lift_fleet::DocumentVersion) -> Option<node_message::NodeMessage> {
        let is_wanted = self.shared.follows_documents();
        let interval = self.shared.node.card.kind.fetch_interval();
        let mut state = self.shared.state.lock();
        let is_due = is_wanted && state.start_fetch(lift_clock::now(), version, interval);
        is_due.then_some(node_message::NodeMessage::Fetch)
    }

    fn take_confirmation(
        &mut self,
        nonce: u64,
        confirmation: confirmation::Confirmation,
    ) -> Option<node_message::NodeMessage> {
        let asked_at = self.take_answer(nonce, true)?;
        let mut state = self.shared.state.lock();
        state.record_leader(asked_at);
        if state.confirm(asked_at, confirmation) {
            self.shared.observer.on_confirmed(asked_at);
            return None;
        }
        let is_behind = state.is_behind(confirmation.evacuations);
        drop(state);
        if is_behind {
            self.shared
                .node
                .counters
                .increment("feed.evacuations_missed");
            return Some(node_message::NodeMessage::FetchHead);
        }
        self.fetch(confirmation.document)
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

fn push(writer: &mut Writer, message: &node_message::NodeMessage) -> Result<()> {
    let pushed = writer.push(message);
    pushed.change_context(feed_error::FeedError::Link)
}
