//! Errors when an entry starts.

/// Reason why an entry could not start.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// A required setting was not given to the builder.
    #[error("required setting {setting} was not given to the builder")]
    Missing {
        /// Name of the setting.
        setting: String,
    },
    /// A socket could not be opened.
    #[error("could not open a socket on {addr}")]
    Bind {
        /// Address to which the socket was to be bound.
        addr: std::net::SocketAddr,
    },
}
