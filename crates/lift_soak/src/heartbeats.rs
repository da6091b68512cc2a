//! Announcements of a backend server.

use std::{sync, time};

use sync::atomic;

use crate::{control_calls, process_settings, soak_server};

/// Announces a server for ever. While it leaves it says so until that is acknowledged.
pub(crate) async fn run(
    server: sync::Arc<soak_server::SoakServer>,
    calls: sync::Arc<control_calls::ControlCalls>,
) {
    let interval = time::Duration::from_millis(process_settings::HEARTBEAT_MS);
    for sequence in 1.. {
        if !server.is_gone.load(atomic::Ordering::Relaxed) {
            announce(&server, &calls, sequence).await;
        }
        tokio::time::sleep(interval).await;
    }
}

async fn announce(
    server: &soak_server::SoakServer,
    calls: &control_calls::ControlCalls,
    sequence: u64,
) {
    let text = server.text();
    let weights = server
        .engine
        .as_ref()
        .and_then(|engine| engine.lock().weights());
    let is_leaving = server.is_leaving.load(atomic::Ordering::Relaxed);
    let body = text.heartbeat(sequence, is_leaving, weights).to_string();
    let is_heard = calls.post(&text.heartbeat_path(), body).await.is_some();
    let is_same = server.text().id == text.id;
    if is_heard && is_leaving && is_same {
        let mut released = server.released_at.lock();
        released.get_or_insert_with(time::Instant::now);
    }
}
