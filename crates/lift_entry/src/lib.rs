//! The entry role: accepts callers' requests and routes them to agents.
//!
//! [`Entry`] listens for HTTP requests on `/v1/{service}/{method}` and for heartbeats of
//! agents. A request is read within limits and admitted. An idempotent one is sent to a
//! host, retried and hedged; its stream resumes on the same version where it breaks. A
//! non-idempotent one is claimed through control first and follows
//! [`lift_route::ClaimedRequest`]. Decisions come from `lift_route`; this crate does the I/O.
//!
//! Headers, statuses and outcomes are described in `docs/decisions/outcomes.md` and
//! `docs/operate/counters.md`.

mod admission;
mod agent_link;
mod answer_check;
mod answer_part;
mod answer_stream;
mod begun;
mod caller_reply;
mod caller_request;
mod claim_client;
mod claimed_path;
mod directory;
mod entry;
mod entry_builder;
mod entry_error;
mod entry_limits;
mod exchange;
mod front;
mod heartbeat_receiver;
mod host_loads;
mod http_server;
mod idempotent_path;
mod link_event;
mod links;
mod live_agent;
mod mailbox;
mod permit;
mod readiness;
mod registration;
mod routes;
mod shared;
mod workspace_state;

pub use entry::Entry;
pub use entry_builder::EntryBuilder;
pub use entry_error::EntryError;
pub use entry_limits::EntryLimits;
pub use live_agent::LiveAgent;

/// Header that names the workspace of a request.
pub const WORKSPACE_HEADER: &str = "x-lift-workspace";

/// Header with the caller's key of a non-idempotent request.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header with the milliseconds until the answer is worthless.
pub const DEADLINE_HEADER: &str = "x-lift-deadline-ms";

/// Header by which a caller says that it has sent this key before. A refusal before the
/// claim then gives the outcome `in_doubt`, because the earlier sending may have run.
pub const REPEAT_HEADER: &str = "x-lift-repeat";

/// Header that names a common prefix of requests, to use the prefix cache of an engine.
pub const PREFIX_HEADER: &str = "x-lift-prefix";
