//! What a replica asks its driver to do.

use crate::{entry, message, refusal, snapshot, write};

/// Output of [`crate::Replica::step`], to be carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write and sync, then report `Synced`. Writes must reach the disk in order.
    Write(write::Write),
    /// Send a message. It may be lost.
    Send(message::Message),
    /// Apply committed entries, then report `Applied`.
    Apply(Vec<entry::Entry>),
    /// Replace the state machine's state, then report `Applied`.
    Restore(snapshot::Snapshot),
    /// Encode the state machine, then report `SnapshotTaken`.
    TakeSnapshot,
    /// Save a snapshot, then report `SnapshotSaved`. May run beside writes.
    SaveSnapshot(snapshot::Snapshot),
    /// The commands of this step were appended.
    Appended {
        /// Position of the first command.
        first: lift_types::LogIndex,
        /// Term of the entries. An entry of another term at the same position is not the
        /// same command.
        term: lift_types::Term,
    },
    /// The commands or the change of this step were not appended.
    Refused(refusal::Refusal),
}
