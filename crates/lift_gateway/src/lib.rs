//! HTTP gateway of a fleet whose backend servers announce themselves and are called directly.
//!
//! A [`Gateway`] accepts the requests of callers, finds the route in the configuration that is in
//! force, selects a backend server and forwards its answer. A [`Dialect`] defines the format of
//! the heads of requests and answers; all decisions are made here and in `lift_dispatch`.
//!
//! An answer other than a stream is forwarded only once it is complete. An answer that carries the
//! identifier of another request, or reports success without the seal of the backend server, is
//! not forwarded. Requests with a part of a prompt that crashes backend servers are kept away from
//! them. Streams of numbered events are forwarded event by event, and resume at another
//! backend server if the route allows it. A response with status 503 guarantees that the request
//! has not run and will not run. See `docs/platform.md`.

mod admissions;
mod answer_body;
mod answer_head;
mod attempt_deadline;
mod attempt_error;
mod backend_call;
mod backend_connection;
mod backend_loads;
mod backend_pool;
mod body_error;
mod caller_connection;
mod caller_head;
mod cold_place;
mod cold_servers;
mod cold_watch;
mod dialect;
mod dialect_error;
mod end_to_end;
mod event_buffer;
mod event_error;
mod event_stream;
mod exchange;
mod failed_attempt;
mod fleet_state;
mod gateway;
mod gateway_builder;
mod gateway_error;
mod gateway_limits;
mod gateway_observer;
mod http_server;
mod in_flight_request;
mod known_share;
mod limited_stream;
mod load_receiver;
mod locality;
mod part_guard;
mod read_allowance;
mod readiness;
mod rejection;
mod request_admission;
mod request_attempt;
mod request_identity;
mod request_log;
mod request_records;
mod request_run;
mod response;
mod server_limit;
mod server_probe;
mod shared;
mod sighting_queue;
mod stall_timer;
mod stream_part;
mod whole_stream;

pub use answer_head::AnswerHead;
pub use backend_call::BackendCall;
pub use caller_head::CallerHead;
pub use dialect::Dialect;
pub use dialect_error::DialectError;
pub use event_buffer::EventBuffer;
pub use event_error::EventError;
pub use gateway::Gateway;
pub use gateway_builder::GatewayBuilder;
pub use gateway_error::GatewayError;
pub use gateway_limits::GatewayLimits;
pub use rejection::Rejection;
