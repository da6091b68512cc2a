//! Errors of starting the request side of an agent.

/// Failure to start the request side of an agent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestServerError {
    /// A setting without a default was not passed to the builder.
    #[error("required setting {setting} was not given to the builder")]
    Missing {
        /// Name of the setting.
        setting: String,
    },
    /// A socket could not be opened.
    #[error("no socket could be opened on {addr}")]
    Bind {
        /// Address on which calls were to be accepted.
        addr: std::net::SocketAddr,
    },
}
