//! What a replica reacts to.

use crate::{member_change, message};

/// Input of [`crate::Replica::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Message(message::Message),
    /// Commands to append, answered by `Appended` or `Refused`.
    Propose(Vec<bytes::Bytes>),
    /// A change of the members, answered by `Appended` or `Refused`.
    Change(member_change::MemberChange),
    /// Hand the lead to another member.
    Transfer,
    /// The write with this number, and all before it, are synced.
    Synced(u64),
    /// The state machine has applied all entries up to this one.
    Applied(lift_types::LogIndex),
    /// The state machine was encoded after it applied `index`.
    SnapshotTaken {
        /// Last applied entry.
        index: lift_types::LogIndex,
        /// Encoded state.
        state: bytes::Bytes,
    },
    /// The snapshot at this position is synced.
    SnapshotSaved(lift_types::LogIndex),
    /// The identifier is known to be bound to this disk.
    VotingAllowed,
}
