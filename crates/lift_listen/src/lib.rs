//! Accepts connections of callers, and stops without losing one that was accepted.
//!
//! The kernel completes connections before a process accepts them, and a listener that is closed
//! resets those. [`serve`] therefore refuses new connections first, accepts what has been
//! completed, and only then closes the listener. [`HttpConnection`] answers the first request of
//! an accepted connection although the process is stopping. Both front ends use them, see
//! `docs/operator-reports.md`.
//!
//! What a process holds for others counts against its [`ByteBudget`], see
//! `docs/design/untrusted-callers.md`.

mod accept_loop;
mod body_budget;
mod body_error;
mod body_reader;
mod byte_budget;
mod closing_listener;
mod connection_handler;
mod first_request;
mod held_buffer;
mod held_bytes;
mod held_kind;
mod http_connection;
mod idle_connections;
mod service_connections;

pub use accept_loop::serve;
pub use body_budget::BodyBudget;
pub use body_error::BodyError;
pub use body_reader::BodyReader;
pub use byte_budget::ByteBudget;
pub use connection_handler::ConnectionHandler;
pub use held_buffer::HeldBuffer;
pub use held_bytes::HeldBytes;
pub use held_kind::HeldKind;
pub use http_connection::HttpConnection;
pub use idle_connections::IdleConnections;
pub use service_connections::ServiceConnections;
