//! One upload.

/// One chunk to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Upload {
    /// Who asked.
    pub host: lift_types::HostId,
    /// Content hash of the chunk.
    pub hash: lift_types::ChunkHash,
}
