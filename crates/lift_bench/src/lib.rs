//! Experiments that measure bursts, requests and configuration changes.
//!
//! Each experiment has an options type, a report type that is printed as one JSON object,
//! and a function that runs it on loopback with stand-ins, bounded in time. Figures and
//! targets are in `docs/measurements.md`.

mod bench_error;

pub use bench_error::BenchError;
