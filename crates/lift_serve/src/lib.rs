//! The agent's request side.
//!
//! [`Serve`] accepts connections of entries and runs their calls on the backend server
//! beside it. A call passes the gate, which pins it to the serving version or
//! refuses it; a claimed call also passes the claims that this incarnation has seen, so that
//! an attempt never runs twice. The answer is streamed back with a sequence, a total length
//! and an end mark. Heartbeats tell the entries what this agent serves.
//!
//! [`Serve`] implements [`lift_border::ServingControl`], by which the other half of the
//! agent closes the gate while the weights change. See `docs/design.md`, section 8, and
//! `docs/decisions/outcomes.md`.

mod answer_sender;
mod claim_recorder;
mod claim_start;
mod connection;
mod gate;
mod gate_state;
mod heartbeat_sender;
mod in_flight;
mod pin;
mod runner;
mod seen_attempt;
mod seen_claims;
mod serve;
mod serve_builder;
mod serve_error;
mod shared;

pub use claim_start::ClaimStart;
pub use seen_attempt::SeenAttempt;
pub use seen_claims::SeenClaims;
pub use serve::Serve;
pub use serve_builder::ServeBuilder;
pub use serve_error::ServeError;
