//! Frames between members.

/// Content of one frame on a connection between members.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub(crate) enum PeerFrame {
    /// First frame of the end that opened the connection.
    Hello {
        /// The member.
        member: lift_types::MemberId,
        /// Where it accepts connections, so that the other end can answer a member that it
        /// does not know yet.
        peer: std::net::SocketAddr,
    },
    /// A message of the protocol.
    Message(lift_consensus::Message),
    /// Asks for a `Pong`, so that a connection that delivers nothing is found.
    Ping,
    /// Answers a `Ping`.
    Pong,
}
