//! Why stored state can't be read or written.

/// Failure of the disk or of what it holds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DiskError {
    /// The operating system reported an error.
    #[error("can't {operation} {file}")]
    Io {
        /// What was tried.
        operation: &'static str,
        /// Name of the file.
        file: String,
    },
    /// Another process uses the folder.
    #[error("{folder} is used by another process")]
    Locked {
        /// The data folder.
        folder: String,
    },
    /// Synced data is damaged. The member must not start from it, because it may have
    /// promised what is lost.
    #[error("{file} is damaged at byte {offset}: {problem}")]
    Damaged {
        /// Name of the file.
        file: String,
        /// Position of the first damaged byte or record.
        offset: u64,
        /// What is wrong.
        problem: &'static str,
    },
    /// The file was written by another version of the program.
    #[error("{file} has format version {found}, expected {expected}", expected = crate::FORMAT_VERSION)]
    Version {
        /// Name of the file.
        file: String,
        /// Version in the file.
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
        /// Member that was to be started.
        expected: lift_types::MemberId,
    },
    /// A stand-in disk was told to fail.
    #[error("the disk has failed")]
    Failed,
}
