//! Messages between agents that exchange chunks.

/// One message on a connection for [`crate::Purpose::Chunks`]. Both ends send and answer
/// requests, so that one connection serves a pair of hosts.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum ChunkMessage {
    /// First message of each end: who it is.
    Hello {
        /// Where the agent is.
        location: lift_types::Location,
        /// Its incarnation.
        incarnation: lift_types::Incarnation,
    },
    /// The sender fetches this version and wants to know which of its chunks the receiver
    /// holds.
    Interest {
        /// The version.
        version: lift_types::VersionId,
        /// Key groups of the chunks that it wants to know about, `None` for all. A host in
        /// another region asks only for the groups that it reads there.
        groups: Option<Vec<lift_types::KeyGroup>>,
    },
    /// All chunks of a version that the sender holds; bit `i % 8` of byte `i / 8` stands for
    /// chunk `i`.
    Bitmap {
        /// The version.
        version: lift_types::VersionId,
        /// One bit for each chunk.
        bits: Vec<u8>,
    },
    /// Chunks that the sender has stored since its last message about them.
    Have {
        /// The version.
        version: lift_types::VersionId,
        /// Positions of the chunks.
        chunks: Vec<lift_types::ChunkIndex>,
    },
    /// Asks for a chunk.
    Request {
        /// Content hash of the chunk.
        hash: lift_types::ChunkHash,
    },
    /// Withdraws a request.
    Cancel {
        /// Content hash of the chunk.
        hash: lift_types::ChunkHash,
    },
    /// Refuses a request because too many wait. The chunk may be asked for again.
    Busy {
        /// Content hash of the chunk.
        hash: lift_types::ChunkHash,
    },
    /// Refuses a request because the sender does not hold the chunk.
    Missing {
        /// Content hash of the chunk.
        hash: lift_types::ChunkHash,
    },
    /// A chunk. The receiver verifies it before it is stored.
    Chunk {
        /// Content hash that the sender claims.
        hash: lift_types::ChunkHash,
        /// The bytes.
        bytes: bytes::Bytes,
    },
    /// Keeps the connection from being closed as silent.
    Ping,
}
