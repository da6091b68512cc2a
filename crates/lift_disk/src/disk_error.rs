//! Errors of reading and writing durable state.

/// Failure of the disk, or data on it that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DiskError {
    /// A file operation failed, for instance because the file is missing.
    #[error("can't {operation} {file}")]
    Io {
        /// Operation that failed, as a verb.
        operation: &'static str,
        /// Name of the file, or description of the folder.
        file: String,
    },
    /// The lock of the folder can't be acquired, usually because another process holds it.
    #[error("{folder} is used by another process")]
    Locked {
        /// Path of the data folder.
        folder: String,
    },
    /// Synced data is damaged. The member must not start from it, because the lost data may
    /// include votes or entries that it has confirmed to other members.
    #[error("{file} is damaged at byte {offset}: {problem}")]
    Damaged {
        /// Name of the file.
        file: String,
        /// Byte offset of the damaged record or section, or 0 if the damage concerns the whole
        /// file.
        offset: u64,
        /// Description of the damage.
        problem: &'static str,
    },
    /// The file was written by another version of the program.
    #[error("{file} has format version {found}, expected {expected}", expected = crate::FORMAT_VERSION)]
    Version {
        /// Name of the file.
        file: String,
        /// Format version in the header of the file.
        found: u16,
    },
    /// A record can't be encoded.
    #[error("a record for {file} can't be encoded")]
    Encode {
        /// Name of the file.
        file: String,
    },
    /// The folder holds the state of another member.
    #[error("the folder belongs to member {found}, not to member {expected}")]
    WrongMember {
        /// Member that the folder belongs to.
        found: lift_types::MemberId,
        /// Member that is being started.
        expected: lift_types::MemberId,
    },
    /// A simulated disk failed on request of a test.
    #[error("injected disk failure")]
    InjectedFailure,
}
