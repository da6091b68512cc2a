//! Reports the load of the backend server to gateways.

use std::{sync, time};

use rand::RngExt as _;
use tokio::sync::watch;

use crate::{engine_report, report_audience, shared};

/// Time between two reports. A place is taken or becomes free about as often at the peak.
const INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Pause after a report that failed.
const FAILED_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Asks the backend server for its load and reports it to gateways, until the task is cancelled.
pub(crate) async fn run(shared: sync::Arc<shared::Shared>, socket: tokio::net::UdpSocket) {
    let mut reporter = LoadReporter {
        nodes: shared.nodes.subscribe(),
        shared,
        socket,
        audience: report_audience::ReportAudience::default(),
        prefill_queue: lift_dispatch::PrefillQueue::default(),
    };
    reporter.nodes.mark_changed();
    let mut is_up = None;
    loop {
        let shared = sync::Arc::clone(&reporter.shared);
        let asked = shared::within(shared::BACKEND_TIMEOUT, shared.stage.report()).await;
        let was_up = is_up.replace(asked.is_ok());
        if was_up != is_up {
            slog::info!(shared.log, "backend server asked"; "address" => shared.backend,
                "answers" => asked.is_ok());
        }
        match asked {
            Ok(report) => {
                reporter.report(&report).await;
                let reported_at = lift_clock::now();
                shared.report.send_replace(Some((report, reported_at)));
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

/// Sends load reports.
struct LoadReporter {
    shared: sync::Arc<shared::Shared>,
    socket: tokio::net::UdpSocket,
    nodes: watch::Receiver<Vec<lift_feed::NodeCard>>,
    audience: report_audience::ReportAudience,
    prefill_queue: lift_dispatch::PrefillQueue,
}

impl LoadReporter {
    async fn report(&mut self, report: &engine_report::EngineReport) {
        if self.nodes.has_changed().unwrap_or_default() {
            let nodes = self.nodes.borrow_and_update();
            let region = &self.shared.card.location.region;
            self.audience.set_gateways(region, &nodes);
        }
        let report = self.load_report(report);
        let Ok(datagram) = lift_wire::seal(&self.shared.keys, &report) else {
            self.shared.counters.increment("agent.report_unsealed");
            return;
        };
        for gateway in self.audience.next_report() {
            // A lost report is followed by the next one.
            if self.socket.send_to(&datagram, gateway).await.is_err() {
                self.shared.counters.increment("agent.report_unsent");
            }
        }
    }

    fn load_report(&mut self, report: &engine_report::EngineReport) -> lift_feed::LoadReport {
        let now = lift_clock::now();
        let prefill_time = self.shared.prefill_time().unwrap_or_default();
        lift_feed::LoadReport {
            backend: self.shared.backend,
            running: report.running,
            waiting: report.waiting,
            unread: self
                .prefill_queue
                .record_sample(now, report.requests(), prefill_time),
            models: report.models.clone(),
            link_percent: self.shared.pressure.lock().link_percent(now),
            is_loading: report.is_busy,
            random: rand::rng().random(),
        }
    }
}
