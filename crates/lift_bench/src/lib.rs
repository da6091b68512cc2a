//! Experiments that measure bursts, requests and configuration changes.
//!
//! Each experiment has an options type, a report type that is printed as one JSON object,
//! and a function that runs it on loopback with stand-ins, bounded in time. Figures and
//! targets are in `docs/measurements.md`.

mod bench_error;
mod burst_fault;
mod burst_fleet;
mod burst_host;
mod burst_live;
mod burst_options;
mod burst_rates;
mod burst_report;
mod burst_run;
mod burst_traffic;
mod requests_balancer;
mod requests_caller;
mod requests_claims;
mod requests_control;
mod requests_fault;
mod requests_fleet;
mod requests_host;
mod requests_load;
mod requests_options;
mod requests_report;
mod requests_role;
mod requests_run;
mod requests_tally;

pub use bench_error::BenchError;
pub use burst_fault::BurstFault;
pub use burst_options::BurstOptions;
pub use burst_report::BurstReport;
pub use burst_run::run_burst;
mod config_changes;
mod config_cluster;
mod config_fault;
mod config_faults;
mod config_fleet;
mod config_forwarder;
mod config_member;
mod config_operator;
mod config_options;
mod config_report;
mod config_run;
mod config_tally;
mod config_timeline;
mod config_usage;

pub use config_fault::ConfigFault;
pub use config_options::ConfigOptions;
pub use config_report::ConfigReport;
pub use config_run::run_config;
pub use requests_fault::RequestsFault;
pub use requests_options::RequestsOptions;
pub use requests_report::RequestsReport;
pub use requests_run::run_requests;
