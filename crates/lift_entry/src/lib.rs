//! The entry role: accepts callers' requests and routes them to agents.
//!
//! [`Entry`] listens for HTTP requests on `/v1/{service}/{method}` and for heartbeats of
//! agents. The head of a request is parsed, the request is admitted, and its body is read, all
//! within limits. An idempotent request is sent to a host, retried and hedged; if its stream
//! breaks off, it resumes on another host that serves the same version. A non-idempotent request
//! is claimed at control before it is sent and follows [`lift_route::ClaimedRequest`]. `lift_route`
//! makes the decisions; this crate performs the I/O.
//!
//! Headers, statuses and outcomes are described in `docs/decisions/outcomes.md` and
//! `docs/operate/counters.md`.

mod admission;
mod agent_link;
mod answer_check;
mod answer_part;
mod answer_stream;
mod caller_reply;
mod caller_request;
mod claim_client;
mod claimed_handler;
mod directory;
mod drain_error;
mod entry;
mod entry_builder;
mod entry_error;
mod entry_limits;
mod exchange;
mod heartbeat_receiver;
mod host_ends;
mod host_loads;
mod http_router;
mod http_server;
mod idempotent_handler;
mod link_event;
mod links;
mod live_agent;
mod mailbox;
mod permit;
mod readiness;
mod registration;
mod request_guard;
mod request_suspect;
mod resume_check;
mod routing_table;
mod shared;
mod started_answer;
mod workspace_state;

pub use drain_error::DrainError;
pub use entry::Entry;
pub use entry_builder::EntryBuilder;
pub use entry_error::EntryError;
pub use entry_limits::EntryLimits;
pub use live_agent::LiveAgent;

/// Header that names the workspace of a request.
pub const WORKSPACE_HEADER: &str = "x-lift-workspace";

/// Header with the idempotency key of a non-idempotent request.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header with the time until the deadline of the request, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-lift-deadline-ms";

/// Header that marks a request as a repeat under a key that was sent before. If such a request is
/// refused because of its head, its outcome is `in_doubt`, because the earlier submission may have
/// run.
pub const REPEAT_HEADER: &str = "x-lift-repeat";

/// Header that names the common prefix of several requests, so that they are preferably sent to the
/// host that last answered the prefix and has it in the prefix cache of its engine.
pub const PREFIX_HEADER: &str = "x-lift-prefix";
