//! Addresses of a listener.

use std::net;

/// The two addresses of a listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ends {
    /// Where others connect.
    pub(crate) public: net::SocketAddr,
    /// Where the listener is.
    pub(crate) own: net::SocketAddr,
}
