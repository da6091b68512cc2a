//! Entry of a fleet whose backend servers announce themselves and are called directly.
//!
//! A [`Gateway`] takes the requests of callers, finds the route in the configuration that is in
//! force, chooses a backend server and passes on its answer. A [`Dialect`] knows how callers
//! and backend servers write heads; everything else is decided here and in `lift_dispatch`.
//!
//! An answer is passed on only if it is whole and belongs to the request. Streams of numbered
//! events are forwarded event by event, and go on at another backend server where the route
//! allows that. A refusal with status 503 is true: the request has not run.
//! See `docs/platform.md`.

mod answer_head;
mod backend_call;
mod backend_connection;
mod backend_pool;
mod body_error;
mod caller_head;
mod decline;
mod dialect;
mod dialect_error;
mod end_to_end;
mod ended;
mod event_buffer;
mod event_error;
mod event_stream;
mod exchange;
mod fleet_state;
mod gateway;
mod gateway_builder;
mod gateway_error;
mod gateway_limits;
mod gateway_observer;
mod http_server;
mod load_book;
mod load_receiver;
mod place;
mod readiness;
mod reply;
mod request_attempt;
mod request_log;
mod request_notes;
mod request_run;
mod service_pace;
mod shared;
mod unanswered;
mod whole_answer;

pub use answer_head::AnswerHead;
pub use backend_call::BackendCall;
pub use caller_head::CallerHead;
pub use decline::Decline;
pub use dialect::Dialect;
pub use dialect_error::DialectError;
pub use event_buffer::EventBuffer;
pub use event_error::EventError;
pub use gateway::Gateway;
pub use gateway_builder::GatewayBuilder;
pub use gateway_error::GatewayError;
pub use gateway_limits::GatewayLimits;
