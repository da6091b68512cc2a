//! Why a connection of the feed ended.

/// Failure of a connection between a node and a control member.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FeedError {
    /// The connection can't be opened.
    #[error("the connection to the control member can't be opened")]
    Connect,
    /// The connection broke or carried an unknown message.
    #[error("the connection of the feed ended")]
    Link,
    /// The other end was silent for too long.
    #[error("the other end of the feed was silent")]
    Silent,
    /// The listener can't be opened.
    #[error("the listener of the feed can't be opened")]
    Listen,
    /// A document can't be compressed or unpacked.
    #[error("the document can't be packed or unpacked")]
    Pack,
    /// A setting without default is missing.
    #[error("the setting {0} of the feed is missing")]
    Missing(&'static str),
}
