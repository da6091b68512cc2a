//! Chunk upload to another agent.

/// Request of another agent for one chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Upload {
    /// Host of the requesting agent.
    pub host: lift_types::HostId,
    /// Content hash of the chunk.
    pub hash: lift_types::ChunkHash,
}
