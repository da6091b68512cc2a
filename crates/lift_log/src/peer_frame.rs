//! Frames between members.

/// Content of one frame on a connection between members.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub(crate) enum PeerFrame {
    /// First frame of the end that opened the connection.
    Hello {
        /// The member.
        member: lift_types::MemberId,
        /// Number of its disk.
        disk: u64,
        /// Where it accepts connections, so that the other end can answer a member that it
        /// does not know yet.
        peer: std::net::SocketAddr,
    },
    /// Answers `Hello`: the end that opened the connection is durably bound to its disk.
    Welcome {
        /// The member that accepted the connection.
        member: lift_types::MemberId,
        /// Number of its disk.
        disk: u64,
        /// Voters that it knows.
        voters: Vec<lift_types::MemberId>,
    },
    /// Answers `Hello`: the member was seen with another disk before.
    WrongDisk,
    /// A message of the protocol.
    Message(lift_consensus::Message),
    /// Asks for a `Pong`, so that a connection that delivers nothing is found.
    Ping,
    /// Answers a `Ping`.
    Pong,
}
