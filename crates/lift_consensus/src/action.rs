//! Actions that a replica requests from its driver.

use crate::{entry, message, refusal, snapshot, write};

/// Output of [`crate::Replica::step`], to be carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write and sync, then report `Synced`. Writes must be made durable in order.
    Write(write::Write),
    /// Send a message. Delivery is not guaranteed.
    Send(message::Message),
    /// Apply committed entries, then report `Applied`.
    Apply(Vec<entry::Entry>),
    /// The entries applied so far may be old: they were in the log before this member first heard
    /// from a leader. Those that follow were appended while it took part.
    EndReplay,
    /// Replace the state of the state machine, then report `Applied`.
    Restore(snapshot::Snapshot),
    /// Encode the state machine, then report `SnapshotTaken`.
    TakeSnapshot,
    /// Save a snapshot, then report `SnapshotSaved`. May run concurrently with writes.
    SaveSnapshot(snapshot::Snapshot),
    /// The commands or the member change of this step were appended to the log.
    Appended {
        /// Index of the first entry.
        first: lift_types::LogIndex,
        /// Term of the entries. An entry of another term at the same index is a different
        /// command.
        term: lift_types::Term,
    },
    /// The commands or the member change of this step were not appended.
    Refused(refusal::Refusal),
}
