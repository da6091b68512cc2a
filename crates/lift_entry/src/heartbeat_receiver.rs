//! Receiver of heartbeats.

use std::{sync, time};

use crate::shared;

/// Maximum length of a datagram. A heartbeat takes a few hundred bytes.
const MAX_DATAGRAM_BYTES: usize = 4_096;

/// Pause after a receive error, so that a persistent error does not cause a busy loop.
const ERROR_PAUSE: time::Duration = time::Duration::from_millis(10);

/// Receives heartbeats and applies them to the directory until the entry stops.
pub(crate) async fn receive(shared: sync::Arc<shared::Shared>, socket: tokio::net::UdpSocket) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let received = tokio::select! {
            received = socket.recv_from(&mut buf) => received,
            () = shared.stopped.cancelled() => return,
        };
        match received {
            Ok((length, _)) => apply_heartbeat(&shared, &buf[..length]),
            Err(_) => tokio::time::sleep(ERROR_PAUSE).await,
        }
    }
}

fn apply_heartbeat(shared: &shared::Shared, datagram: &[u8]) {
    let Ok(heartbeat) = lift_wire::open::<lift_wire::Heartbeat>(&shared.keys, datagram) else {
        return shared.counters.increment("entry.heartbeat_invalid");
    };
    let report = lift_route::HostReport {
        location: heartbeat.location,
        incarnation: heartbeat.incarnation,
        sequence: heartbeat.sequence,
        state: heartbeat.state,
        serving: heartbeat.serving,
        in_progress: heartbeat.in_progress,
        call_addr: heartbeat.call_addr,
        chunk_addr: heartbeat.chunk_addr,
        services: heartbeat.services,
    };
    shared.counters.increment("entry.heartbeats");
    shared.directory.apply_report(time::Instant::now(), report);
}
