//! Hands out pieces to other agents.

use std::{sync, time};

use error_stack::ResultExt as _;
use tokio::sync::mpsc;

use crate::{piece_connection, piece_message, shared, staged, upload_slots};

/// Silence after which a connection is closed.
const SILENCE: time::Duration = time::Duration::from_secs(5);

/// Time for the handshake and the first message.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Time between pings on a connection that sends nothing else.
const PING_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Requests of one connection that may wait to be answered. More than the queue of all connections
/// holds never wait.
const MAX_WAITING: usize = 6;

/// Refusals of one connection that may wait to be sent.
const MAX_REFUSALS: usize = 16;

/// Pause after a failure to accept.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

type Result<T> = std::result::Result<T, error_stack::Report<lift_wire::WireError>>;

/// Accepts agents until the task is dropped.
pub(crate) async fn run(shared: sync::Arc<shared::Shared>, listener: tokio::net::TcpListener) {
    let local = upload_slots::UploadSlots::local();
    let remote = upload_slots::UploadSlots::remote();
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        while connections.try_join_next().is_some() {}
        let shared = sync::Arc::clone(&shared);
        let slots = match shared.is_in_other_region(from.ip()) {
            true => remote.clone(),
            false => local.clone(),
        };
        connections.spawn(async move {
            if serve(&shared, &slots, stream).await.is_err() {
                shared.counters.increment("agent.piece_link_ended");
            }
        });
    }
}

async fn serve(
    shared: &shared::Shared,
    slots: &upload_slots::UploadSlots,
    stream: tokio::net::TcpStream,
) -> Result<()> {
    lift_feed::prepare_link(&stream, SILENCE);
    let purpose = lift_wire::Purpose::Pieces;
    let accepted = lift_wire::accept(stream, &shared.keys, purpose);
    let (mut reader, mut writer) = piece_connection::within(START_TIMEOUT, accepted).await?;
    let first = piece_connection::within(START_TIMEOUT, reader.recv()).await?;
    let (model, version) = match first {
        piece_message::PieceMessage::Want { model, version } => (model, version),
        piece_message::PieceMessage::AskManifest { model, version } => {
            return tell_manifest(shared, &model, version, writer).await;
        }
        _ => return Err(error_stack::Report::new(lift_wire::WireError::Decode)),
    };
    let mut current = shared.staged.subscribe();
    loop {
        let staged = current.borrow_and_update().clone();
        if let Some(staged) = staged.filter(|s| s.is(&model, version)) {
            let serving = Serving {
                shared,
                slots,
                staged,
            };
            return serving.run(reader, writer).await;
        }
        // This agent may not have heard of the version yet, or its backend server may hold the
        // version since before the agent started.
        shared.asked.send_replace(Some((model.clone(), version)));
        piece_connection::within(SILENCE, writer.send(&piece_message::PieceMessage::Unknown))
            .await?;
        tokio::select! {
            changed = current.changed() => {
                changed.change_context(lift_wire::WireError::Closed)?;
            }
            () = tokio::time::sleep(PING_INTERVAL) => {}
            message = piece_connection::within(SILENCE, reader.recv::<piece_message::PieceMessage>()) => {
                message?;
            }
        }
    }
}

/// Answers with the manifest, or closes where this agent does not have it yet.
async fn tell_manifest(
    shared: &shared::Shared,
    model: &str,
    version: lift_fleet::WeightsVersion,
    mut writer: piece_connection::Writer,
) -> Result<()> {
    let staged = shared.staged.borrow().clone();
    let staged = staged.filter(|s| s.is(model, version));
    let staged = staged.ok_or(lift_wire::WireError::Closed)?;
    let answer = piece_message::PieceMessage::Manifest(staged.manifest.clone());
    piece_connection::within(SILENCE, writer.send(&answer)).await
}

/// One connection whose version this agent works on.
struct Serving<'a> {
    shared: &'a shared::Shared,
    slots: &'a upload_slots::UploadSlots,
    staged: sync::Arc<staged::Staged>,
}

impl Serving<'_> {
    async fn run(
        &self,
        mut reader: piece_connection::Reader,
        mut writer: piece_connection::Writer,
    ) -> Result<()> {
        let (asked, mut waiting) = mpsc::channel(MAX_WAITING);
        let (refused, mut refusals) = mpsc::channel(MAX_REFUSALS);
        let reading = async {
            loop {
                let message = piece_connection::within(SILENCE, reader.recv()).await?;
                let piece_message::PieceMessage::Get(index) = message else {
                    continue;
                };
                // The permit is given back once the request is answered.
                let is_sent = match self.slots.enqueue() {
                    Some(permit) => asked.send((index, permit)).await.is_ok(),
                    None => refused.send(index).await.is_ok(),
                };
                if !is_sent {
                    return Err(error_stack::Report::new(lift_wire::WireError::Closed));
                }
            }
        };
        let writing = async {
            let mut told = indexmap::IndexSet::new();
            let mut is_first = true;
            let mut count = self.staged.watch();
            loop {
                self.announce(&mut told, &mut is_first, &mut writer).await?;
                tokio::select! {
                    asked = waiting.recv() => {
                        let Some((index, _permit)) = asked else { return Ok(()) };
                        self.answer(index, &mut writer).await?;
                    }
                    index = refusals.recv() => {
                        let Some(index) = index else { return Ok(()) };
                        let busy = piece_message::PieceMessage::Busy(index);
                        piece_connection::within(SILENCE, writer.send(&busy)).await?;
                    }
                    () = tokio::time::sleep(PING_INTERVAL) => {
                        let ping = piece_message::PieceMessage::Ping;
                        piece_connection::within(SILENCE, writer.send(&ping)).await?;
                    }
                    changed = count.changed() => {
                        changed.change_context(lift_wire::WireError::Closed)?;
                    }
                }
            }
        };
        tokio::select! {
            ended = reading => ended,
            ended = writing => ended,
        }
    }

    async fn announce(
        &self,
        told: &mut indexmap::IndexSet<lift_types::ChunkIndex>,
        is_first: &mut bool,
        writer: &mut piece_connection::Writer,
    ) -> Result<()> {
        let news: Vec<_> = self.staged.all();
        let news: Vec<_> = news.into_iter().filter(|i| told.insert(*i)).collect();
        // The first message tells that this agent works on the version, even without pieces.
        if news.is_empty() && !std::mem::take(is_first) {
            return Ok(());
        }
        *is_first = false;
        piece_connection::within(
            SILENCE,
            writer.send(&piece_message::PieceMessage::Have(news)),
        )
        .await
    }

    async fn answer(
        &self,
        index: lift_types::ChunkIndex,
        writer: &mut piece_connection::Writer,
    ) -> Result<()> {
        let slot = self.slots.acquire().await;
        let _slot = slot.ok_or(lift_wire::WireError::Closed)?;
        let answer = match self.read(index).await {
            Some(bytes) => {
                self.pace(bytes.len()).await;
                self.shared.counters.increment("agent.pieces_sent");
                piece_message::PieceMessage::Piece { index, bytes }
            }
            None => piece_message::PieceMessage::Missing(index),
        };
        piece_connection::within(SILENCE, writer.send(&answer)).await
    }

    /// Waits until a piece may be sent.
    async fn pace(&self, length: usize) {
        let Some(pacer) = &self.shared.pacer else {
            return;
        };
        let report = self.shared.report.borrow().clone();
        let live = report.map_or(0, |(report, _)| report.running);
        let now = lift_clock::now();
        // On a crowded link a piece counts for more, so that the next ones wait longer.
        let percent = self.shared.pressure.lock().allowed_percent(now).max(1) as usize;
        let turn = pacer.lock().reserve(now, length * 100 / percent, live);
        tokio::time::sleep(turn.saturating_duration_since(now)).await;
    }

    /// Reads a piece and checks it: what is staged may be spoilt or replaced by now.
    async fn read(&self, index: lift_types::ChunkIndex) -> Option<bytes::Bytes> {
        if !self.staged.holds(index) {
            return None;
        }
        let read = self.shared.staged_piece(&self.staged.manifest, index).await;
        let bytes = read.ok().flatten()?;
        if self.staged.manifest.matches(index, &bytes) {
            return Some(bytes);
        }
        let is_current = {
            let current = self.shared.staged.borrow();
            let current = current.as_ref();
            current.is_some_and(|current| sync::Arc::ptr_eq(current, &self.staged))
        };
        if !is_current {
            // A piece of the newer version has taken its place.
            self.staged.remove(index);
            return None;
        }
        let model = &self.staged.manifest.model;
        self.shared.inventory.forget(model, index);
        self.shared.counters.increment("agent.pieces_spoilt");
        None
    }
}
