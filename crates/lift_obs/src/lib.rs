//! Structured logs and counters.
//!
//! [`LogConfig`] builds a `slog` logger that writes one line of key=value pairs for
//! each event. [`Counters`] counts refusals, retries and other events; it can be read as
//! text and, with a [`StatsdExporter`], sent through `cadence`.
//! The meaning of each counter is in `docs/operate/counters.md`.

mod counters;
mod histograms;
mod log_config;
mod log_error;
mod lossy_drain;
mod statsd_error;
mod statsd_exporter;

pub use counters::Counters;
pub use histograms::Histograms;
pub use log_config::LogConfig;
pub use log_error::LogError;
pub use statsd_error::StatsdError;
pub use statsd_exporter::StatsdExporter;
