//! Counters and latencies as text.

use std::sync;

use axum::{extract, routing};

/// What is served.
#[derive(Clone, Debug)]
pub(crate) struct FleetMetrics {
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    pub(crate) latencies: sync::Arc<lift_obs::Histograms>,
}

impl FleetMetrics {
    /// Answers at any path.
    pub(crate) fn router(self) -> axum::Router {
        axum::Router::new()
            .fallback(routing::get(text))
            .with_state(self)
    }
}

async fn text(extract::State(metrics): extract::State<FleetMetrics>) -> String {
    let mut text = metrics.counters.to_text();
    text.push_str(&metrics.latencies.to_text());
    text
}
