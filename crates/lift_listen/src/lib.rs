//! Accepts connections of callers, and stops without losing one that was accepted.
//!
//! The kernel completes connections before a process accepts them, and a listener that is closed
//! resets those. [`serve`] therefore refuses new connections first, accepts what has been
//! completed, and only then closes the listener. [`HttpConnection`] answers the first request of
//! an accepted connection although the process is stopping. Both front ends use them, see
//! `docs/operator-reports.md`.

mod accept_loop;
mod closing_listener;
mod connection_handler;
mod first_request;
mod http_connection;

pub use accept_loop::serve;
pub use connection_handler::ConnectionHandler;
pub use http_connection::HttpConnection;
