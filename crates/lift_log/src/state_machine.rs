//! What the replicated log drives.

use std::fmt;

/// State that committed commands change. Equal logs must give equal states: no clock and
/// no random numbers.
pub trait StateMachine: fmt::Debug + Send + Sync {
    /// Returns to the state before the first command. Called at each start of the log, which then
    /// applies its commands again. A state that is the same when commands are applied twice may
    /// be kept.
    fn reset(&self);

    /// Applies one committed command and returns its reply. Called in order of `index`.
    fn apply(&self, index: lift_types::LogIndex, command: &[u8]) -> bytes::Bytes;

    /// The commands applied before this call may be as old as the log; those after it were appended
    /// while this member took part. Must not change the state, but may change what is known about
    /// the age of a command.
    fn end_replay(&self) {}

    /// Encodes the whole state. Not called while a command is applied.
    fn snapshot(&self) -> bytes::Bytes;

    /// Replaces the whole state by an encoded one. Returns `false`, and changes nothing,
    /// where `buf` is not a snapshot that this version can read.
    fn restore(&self, buf: &[u8]) -> bool;
}
