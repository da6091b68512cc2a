//! Events that a replica handles.

use crate::{member_change, message};

/// Input of [`crate::Replica::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message from another member was received.
    Message(message::Message),
    /// Commands to append, answered by `Appended` or `Refused`.
    Propose(Vec<bytes::Bytes>),
    /// Change of the member set, answered by `Appended` or `Refused`.
    Change(member_change::MemberChange),
    /// Request to transfer leadership to another voter. Ignored unless this member is the
    /// leader and another voter is responsive.
    TransferLeadership,
    /// The write with this number and all earlier ones are synced.
    Synced(u64),
    /// The state machine has applied all entries up to this index.
    Applied(lift_types::LogIndex),
    /// The state machine was encoded after it had applied the entry at `index`.
    SnapshotTaken {
        /// Index of the last applied entry.
        index: lift_types::LogIndex,
        /// Encoded state of the state machine.
        state: bytes::Bytes,
    },
    /// The snapshot at this index is synced.
    SnapshotSaved(lift_types::LogIndex),
    /// It is confirmed that the member's identifier is bound to this disk, so the member may
    /// vote. See [`crate::Voting`].
    VotingAllowed,
}
