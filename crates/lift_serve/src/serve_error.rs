//! Why the request side could not start.

/// Failure to start the request side of an agent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ServeError {
    /// A part that has no default was not given to the builder.
    #[error("the builder lacks {part}")]
    Missing {
        /// Name of the part.
        part: String,
    },
    /// A socket could not be opened.
    #[error("no socket could be opened on {addr}")]
    Bind {
        /// Address that was asked for.
        addr: std::net::SocketAddr,
    },
}
