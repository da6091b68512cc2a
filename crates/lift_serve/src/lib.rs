//! The request side of an agent.
//!
//! [`RequestServer`] accepts connections from entries and runs their calls on its backend
//! server. The gate admits or refuses each call, and pins calls of a model engine to the serving
//! version. A non-idempotent call carries a claim, which is also checked against the
//! [`ClaimTable`] of this incarnation, so that an attempt never runs twice. An answer is streamed
//! back as numbered parts, followed by an end message with the total length and the number of
//! parts. Heartbeats report to the entries which version and services this agent serves.
//!
//! [`RequestServer`] implements [`lift_border::ServingControl`], through which the part of the
//! agent that manages the weights closes the gate while they change. See `docs/design.md`,
//! section 8, and `docs/decisions/outcomes.md`.

mod answer_sender;
mod attempt_state;
mod call_runner;
mod claim_decision;
mod claim_table;
mod connection;
mod gate;
mod gate_state;
mod heartbeat_sender;
mod in_flight_call;
mod outcome_recorder;
mod pin;
mod request_server;
mod request_server_builder;
mod request_server_error;
mod shared;

pub use attempt_state::AttemptState;
pub use claim_decision::ClaimDecision;
pub use claim_table::ClaimTable;
pub use request_server::RequestServer;
pub use request_server_builder::RequestServerBuilder;
pub use request_server_error::RequestServerError;
