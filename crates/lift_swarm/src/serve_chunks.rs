//! Tasks that accept connections, announce stored chunks and upload chunks.

use std::{sync, time};

use tokio::{net, sync as tokio_sync, time as tokio_time};

use crate::{agent, exchange, peer_link};

/// Minimum time between two announcements. Chunks stored in the meantime are combined into one
/// message per agent.
const ANNOUNCE_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Maximum time between two checks for staggered chunks that are due to be announced to all.
const STAGGERED_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Timeout of sending one chunk. After it, the upload slot is used for another request.
const UPLOAD_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Accepts connections from other agents until the agent stops.
pub(crate) async fn accept_connections(agent: sync::Arc<agent::Agent>, listener: net::TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let own = agent.clone();
                agent
                    .tasks
                    .spawn(exchange::run(own, stream, exchange::Direction::Inbound));
            }
            // The process is probably out of file descriptors; waits for some to be closed.
            Err(_) => tokio_time::sleep(time::Duration::from_millis(100)).await,
        }
    }
}

/// Announces stored chunks to interested agents.
pub(crate) async fn announce_chunks(agent: sync::Arc<agent::Agent>) {
    loop {
        let wait = agent.announce_now.notified();
        let _ = tokio_time::timeout(STAGGERED_INTERVAL, wait).await;
        let mut chunks = std::mem::take(&mut *agent.unannounced.lock());
        chunks.extend(
            agent
                .staggered_announcements
                .lock()
                .take_ready(time::Instant::now()),
        );
        if chunks.is_empty() {
            continue;
        }
        let manifest = agent.transfer.lock().as_ref().map(|t| t.manifest.clone());
        if let Some(manifest) = manifest {
            agent.announce_to_interested(&manifest, &chunks);
        }
        tokio_time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// Processes queued uploads, one at a time. Several of these tasks run concurrently.
pub(crate) async fn run_uploads(agent: sync::Arc<agent::Agent>) {
    loop {
        let next = agent.uploads.lock().take_next();
        let Some(upload) = next else {
            tokio::select! {
                () = agent.upload_now.notified() => {}
                () = agent.stop.cancelled() => return,
            }
            continue;
        };
        send_chunk(&agent, upload).await;
        if agent.stop.is_cancelled() {
            return;
        }
        // Wakes another upload task, because `Notify` stores at most one permit and a
        // notification may have been lost.
        if !agent.uploads.lock().is_empty() {
            agent.upload_now.notify_one();
        }
    }
}

async fn send_chunk(agent: &sync::Arc<agent::Agent>, upload: lift_transfer::Upload) {
    let (host, hash) = (upload.host, upload.hash);
    let chunks = agent.chunks.clone();
    let read = agent::Agent::run_blocking(move || chunks.read(&hash)).await;
    let Some(Ok(Some(buf))) = read else {
        agent.send_to(host, lift_wire::ChunkMessage::Missing { hash });
        return;
    };
    let length = buf.len();
    let at = reserve_upload(agent, length);
    tokio_time::sleep_until(at.into()).await;
    let tx = agent
        .links
        .with(&host, |links| links.get(&host).map(|link| link.tx.clone()));
    let Some(tx) = tx else {
        return;
    };
    let (written_tx, written_rx) = tokio_sync::oneshot::channel();
    let outgoing = peer_link::OutgoingMessage {
        message: lift_wire::ChunkMessage::Chunk {
            hash,
            bytes: bytes::Bytes::from(buf),
        },
        written: Some(written_tx),
    };
    let send = async {
        if tx.send(outgoing).await.is_ok() && written_rx.await.is_ok() {
            agent.counters.add("chunk_bytes_to_agents", length as u64);
            for chunk in agent.read_current_transfer(|t| t.chunk_indices(&hash).to_vec()) {
                agent.staggered_announcements.lock().record_upload(chunk);
            }
            agent.announce_now.notify_one();
        }
    };
    if tokio_time::timeout(UPLOAD_TIMEOUT, send).await.is_err() {
        agent.counters.increment("chunk_upload_timeout");
    }
}

fn reserve_upload(agent: &agent::Agent, bytes: usize) -> time::Instant {
    let now = time::Instant::now();
    let live = agent.live_requests();
    let mut pacer = agent.upload_pacer.lock();
    pacer
        .as_mut()
        .map_or(now, |pacer| pacer.reserve(now, bytes, live))
}
