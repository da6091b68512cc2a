//! Brings new weights to backend servers that load them from a staging area.
//!
//! A [`StageAgent`] runs beside each backend server. It reports the server's load to gateways
//! and brings the target version of the weights to the server. The agent fetches each piece from
//! the origin or from another agent, as `lift_transfer` decides, checks it against its digest and
//! puts it into the staging area. It then checks all pieces there once more, and only after that
//! orders the server to load them. No write may be on its way in between, not even one of an
//! earlier version. The staging area is the only store: pieces for other agents are read from it
//! and checked before they are sent.
//!
//! The backend server is reached through a [`StagePort`], the origin through an
//! [`OriginPort`]. See `docs/platform.md`.

mod agent_observer;
mod arrival;
mod choice_state;
mod engine_report;
mod fetch;
mod fetch_links;
mod fetch_log;
mod fetch_origin;
mod fetch_progress;
mod inventory;
mod link_patience;
mod load_permit;
mod load_reporter;
mod manifest_source;
mod order_answer;
mod origin_monitor;
mod origin_port;
mod piece_checks;
mod piece_connection;
mod piece_digest;
mod piece_link;
mod piece_manifest;
mod piece_message;
mod piece_server;
mod read_back;
mod report_audience;
mod shared;
mod stage_agent;
mod stage_agent_builder;
mod stage_error;
mod stage_port;
mod staged;
mod staging_area;
mod survey;
mod upload_slots;
mod weights_keeper;

pub use engine_report::EngineReport;
pub use link_patience::LinkPatience;
pub use order_answer::OrderAnswer;
pub use origin_port::OriginPort;
pub use piece_checks::{MAX_CHECK_AGE, PieceChecks};
pub use piece_digest::PieceDigest;
pub use piece_manifest::PieceManifest;
pub use report_audience::ReportAudience;
pub use stage_agent::StageAgent;
pub use stage_agent_builder::StageAgentBuilder;
pub use stage_error::StageError;
pub use stage_port::StagePort;
