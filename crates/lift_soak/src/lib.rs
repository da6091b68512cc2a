//! A randomized fault soak of a fleet.
//!
//! [`run`] starts a small fleet as separate processes on loopback: three control members, two
//! gateways and two agents. Callers, backend servers, an operator and an origin are part of the
//! test. Faults come from outside: signals, restarts, a lost disk, and forwarders in front of
//! every listener that delay, reset, cut and silence connections. A seed decides which faults
//! come when.
//!
//! What callers and backend servers see is checked while the test runs. Each answer is complete
//! and belongs to its request. A write runs at most once, and not at all if its caller was told
//! that it has not run. Streams have no gaps and come from one version of the weights. The pieces
//! of weights are correct. Revoked keys stop working, and reads of the configuration never go
//! back.
//! After the last fault the fleet must serve again, and a graceful stop must interrupt no request
//! that runs.
//!
//! [`run_planned`] plays nothing but planned work: stops, some of them ordered twice, changes of
//! settings and of the configuration, in series and overlapping, while sound backend servers fall
//! silent amid their answers. No request may end without an answer then.
//!
//! [`run_revoked_keys`] takes all keys away in several ways while processes start anew. No request
//! may run after that.
//! [`run_evacuations`] lets an operator evacuate and restore a failure domain during faults of
//! gateways and control members. No request may reach the evacuated servers meanwhile.
//!
//! [`run_retry_storm`] plays one thing at length: backend servers fail while processes start anew
//! in series, and the arrivals beyond the first of each request are counted over all gateways.

mod answer_text;
mod call_end;
mod callers;
mod cast;
mod control_calls;
mod counts;
mod ends;
mod evacuation_run;
mod fault;
mod fault_plan;
mod heartbeats;
mod host_link;
mod link_fault;
mod lost_disks;
mod lost_disks_report;
mod operator_order;
mod oracle;
mod planned_run;
mod process_settings;
mod query;
mod request_kind;
mod retry_book;
mod retry_window;
mod revoked_keys;
mod run_clock;
mod server_calls;
mod server_engine;
mod server_fault;
mod silence;
mod soak_caller;
mod soak_error;
mod soak_fleet;
mod soak_host;
mod soak_operator;
mod soak_options;
mod soak_origin;
mod soak_process;
mod soak_report;
mod soak_run;
mod soak_server;
mod soak_weights;
mod spoilt_pieces;
mod storm_caller;
mod storm_fleet;
mod storm_options;
mod storm_options_builder;
mod storm_report;
mod storm_restart;
mod storm_run;
mod storm_server;
mod work_plan;

pub use evacuation_run::run_evacuations;
pub use fault::Fault;
pub use link_fault::LinkFault;
pub use lost_disks::run_lost_disks;
pub use lost_disks_report::LostDisksReport;
pub use planned_run::run_planned;
pub use retry_window::RetryWindow;
pub use revoked_keys::run_revoked_keys;
pub use server_fault::ServerFault;
pub use soak_error::SoakError;
pub use soak_options::SoakOptions;
pub use soak_report::SoakReport;
pub use soak_run::run;
pub use spoilt_pieces::run_spoilt_pieces;
pub use storm_options::StormOptions;
pub use storm_options_builder::StormOptionsBuilder;
pub use storm_report::StormReport;
pub use storm_restart::StormRestart;
pub use storm_run::run as run_retry_storm;
