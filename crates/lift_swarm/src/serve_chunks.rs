//! Tasks that send chunks and news of chunks.

use std::{sync, time};

use tokio::{net, sync as tokio_sync, time as tokio_time};

use crate::{agent, exchange, peer_link};

/// Interval in which new chunks are gathered into one message to the neighbours.
const HAVE_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Interval at which chunks that were announced to a few are announced to all.
const SEED_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Longest time of one upload. Above it the slot is given to another request.
const UPLOAD_LIMIT: time::Duration = time::Duration::from_secs(10);

/// Accepts connections from other agents until the agent stops.
pub(crate) async fn accept(agent: sync::Arc<agent::Agent>, listener: net::TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let own = agent.clone();
                agent
                    .tasks
                    .spawn(exchange::run(own, stream, exchange::End::Accepted));
            }
            // The process has no file descriptor left; waits for one to be closed.
            Err(_) => tokio_time::sleep(time::Duration::from_millis(100)).await,
        }
    }
}

/// Tells interested agents about stored chunks.
pub(crate) async fn announce(agent: sync::Arc<agent::Agent>) {
    loop {
        let wait = agent.fresh_now.notified();
        let _ = tokio_time::timeout(SEED_INTERVAL, wait).await;
        let mut chunks = std::mem::take(&mut *agent.fresh.lock());
        chunks.extend(agent.seeds.lock().take_ready(time::Instant::now()));
        if chunks.is_empty() {
            continue;
        }
        let manifest = agent.transfer.lock().as_ref().map(|t| t.manifest.clone());
        if let Some(manifest) = manifest {
            agent.tell_interested(&manifest, &chunks);
        }
        tokio_time::sleep(HAVE_INTERVAL).await;
    }
}

/// Sends waiting uploads, one at a time. Several of these run at once.
pub(crate) async fn upload(agent: sync::Arc<agent::Agent>) {
    loop {
        let next = agent.uploads.lock().take_next();
        let Some(upload) = next else {
            tokio::select! {
                () = agent.upload_now.notified() => {}
                () = agent.stop.cancelled() => return,
            }
            continue;
        };
        send(&agent, upload).await;
        if agent.stop.is_cancelled() {
            return;
        }
        // Wakes another slot that has missed a notice.
        if !agent.uploads.lock().is_empty() {
            agent.upload_now.notify_one();
        }
    }
}

async fn send(agent: &sync::Arc<agent::Agent>, upload: lift_transfer::Upload) {
    let (host, hash) = (upload.host, upload.hash);
    let chunks = agent.chunks.clone();
    let read = agent::Agent::block(move || chunks.read(&hash)).await;
    let Some(Ok(Some(buf))) = read else {
        agent.tell(host, lift_wire::ChunkMessage::Missing { hash });
        return;
    };
    let length = buf.len();
    let at = reserve(agent, length);
    tokio_time::sleep_until(at.into()).await;
    let tx = agent
        .links
        .with(&host, |links| links.get(&host).map(|link| link.tx.clone()));
    let Some(tx) = tx else {
        return;
    };
    let (written_tx, written_rx) = tokio_sync::oneshot::channel();
    let outgoing = peer_link::Outgoing {
        message: lift_wire::ChunkMessage::Chunk {
            hash,
            bytes: bytes::Bytes::from(buf),
        },
        written: Some(written_tx),
    };
    let send = async {
        if tx.send(outgoing).await.is_ok() && written_rx.await.is_ok() {
            agent.counters.add("chunk_bytes_to_agents", length as u64);
            for chunk in agent.current(|t| t.positions(&hash).to_vec()) {
                agent.seeds.lock().sent(chunk);
            }
            agent.fresh_now.notify_one();
        }
    };
    if tokio_time::timeout(UPLOAD_LIMIT, send).await.is_err() {
        agent.counters.increment("chunk_upload_timeout");
    }
}

fn reserve(agent: &agent::Agent, bytes: usize) -> time::Instant {
    let now = time::Instant::now();
    let live = agent.live_requests();
    let mut pacer = agent.upload_pacer.lock();
    pacer
        .as_mut()
        .map_or(now, |pacer| pacer.reserve(now, bytes, live))
}
