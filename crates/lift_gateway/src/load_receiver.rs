//! Receives load reports from agents.

use std::sync;

use crate::shared;

/// Longest report, in bytes.
const MAX_REPORT_BYTES: usize = 2_048;

/// Receives load reports until the task is cancelled. Reports that fail authentication or can't
/// be decoded are counted and dropped.
pub(crate) async fn run(
    shared: sync::Arc<shared::Shared>,
    socket: tokio::net::UdpSocket,
    keys: lift_wire::LinkKeys,
) {
    let mut buf = vec![0; MAX_REPORT_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buf).await else {
            shared.counters.increment("gateway.report_failed");
            continue;
        };
        let Ok(report) = lift_wire::open::<lift_feed::LoadReport>(&keys, &buf[..length]) else {
            shared.counters.increment("gateway.report_unreadable");
            continue;
        };
        let sample = lift_dispatch::LoadSample {
            requests: report.requests(),
            queued_prompts: report.unread,
            models: report.models,
            link_percent: report.link_percent.map(|percent| percent.min(100)),
            is_loading: report.is_loading,
            random: report.random,
            received_at: lift_clock::now(),
        };
        shared
            .loads
            .update(report.backend, |load| load.record_sample(sample));
        shared.capacity_changed.notify_one();
    }
}
