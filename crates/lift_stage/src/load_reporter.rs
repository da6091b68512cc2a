//! Reports the load of the backend server to gateways.

use std::{net, sync, time};

use rand::RngExt as _;

use crate::{engine_report, shared};

/// Time between two reports. A place is taken or becomes free about as often at the peak.
const INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Pause after a report that failed.
const FAILED_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Asks the backend server again and again and tells all gateways.
pub(crate) async fn run(shared: sync::Arc<shared::Shared>, socket: tokio::net::UdpSocket) {
    let mut is_up = None;
    let mut prefill_queue = lift_dispatch::PrefillQueue::default();
    loop {
        let asked = shared::within(shared::BACKEND_TIMEOUT, shared.stage.report()).await;
        let was_up = is_up.replace(asked.is_ok());
        if was_up != is_up {
            slog::info!(shared.log, "backend server asked"; "address" => shared.backend,
                "answers" => asked.is_ok());
        }
        match asked {
            Ok(report) => {
                let now = lift_clock::now();
                let requests = report.running + report.waiting;
                let prefill_time = shared.prefill_time().unwrap_or_default();
                let unread = prefill_queue.record_sample(now, requests, prefill_time);
                tell(&shared, &socket, &report, unread).await;
                shared
                    .report
                    .send_replace(Some((report, lift_clock::now())));
                tokio::time::sleep(INTERVAL).await;
            }
            Err(_) => {
                shared.counters.increment("agent.report_failed");
                shared.report.send_replace(None);
                tokio::time::sleep(FAILED_PAUSE).await;
            }
        }
    }
}

async fn tell(
    shared: &shared::Shared,
    socket: &tokio::net::UdpSocket,
    report: &engine_report::EngineReport,
    unread: u32,
) {
    let report = lift_feed::LoadReport {
        backend: shared.backend,
        running: report.running,
        waiting: report.waiting,
        unread,
        models: report.models.clone(),
        link_percent: shared.pressure.lock().allowed_percent(lift_clock::now()),
        is_loading: report.is_busy,
        lot: rand::rng().random(),
    };
    let Ok(datagram) = lift_wire::seal(&shared.keys, &report) else {
        shared.counters.increment("agent.report_unsealed");
        return;
    };
    let gateways: Vec<net::SocketAddr> = shared
        .nodes
        .borrow()
        .iter()
        .filter(|card| card.kind == lift_feed::NodeKind::Gateway)
        .filter_map(|card| card.load_addr)
        .collect();
    for gateway in gateways {
        // A lost report is followed by the next one.
        if socket.send_to(&datagram, gateway).await.is_err() {
            shared.counters.increment("agent.report_unsent");
        }
    }
}
