//! Content of a message between members.

use crate::{entry, member_set, vote_kind};

/// A request or reply of the protocol. Every message may be lost, doubled or reordered.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum MessageBody {
    /// Asks for a vote, or whether a vote would be given.
    Vote {
        /// Pre-vote, regular vote or vote after a transfer.
        kind: vote_kind::VoteKind,
        /// Last entry of the candidate.
        last_index: lift_types::LogIndex,
        /// Term of that entry.
        last_term: lift_types::Term,
    },
    /// Answers a vote request.
    VoteReply {
        /// Kind of the request.
        kind: vote_kind::VoteKind,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Adds entries, or none as a heartbeat.
    Append {
        /// Entry before the first one of this message.
        prev_index: lift_types::LogIndex,
        /// Term of that entry.
        prev_term: lift_types::Term,
        /// Entries that follow it.
        entries: Vec<entry::Entry>,
        /// Commit index of the leader.
        commit: lift_types::LogIndex,
        /// Sending time on the leader's clock, in ns. Echoed by the reply.
        sent: u64,
    },
    /// The log of the sender is synced and equal to the leader's up to `matched`.
    Accepted {
        /// Last entry that is known to be equal and synced.
        matched: lift_types::LogIndex,
        /// Sending time of the message that is answered.
        sent: u64,
    },
    /// The entry before those of an append message is missing or differs.
    Rejected {
        /// Position of that entry.
        prev_index: lift_types::LogIndex,
        /// Position from which the leader should try next.
        hint: lift_types::LogIndex,
        /// Sending time of the message that is answered.
        sent: u64,
    },
    /// Part of a snapshot.
    SnapshotChunk {
        /// Last entry of the snapshot.
        index: lift_types::LogIndex,
        /// Term of that entry.
        last_term: lift_types::Term,
        /// Members as of that entry.
        members: member_set::MemberSet,
        /// Position of the part, in bytes.
        offset: u64,
        /// Length of the whole state, in bytes.
        total: u64,
        /// The part.
        part: bytes::Bytes,
        /// Sending time on the leader's clock, in ns.
        sent: u64,
    },
    /// How much of a snapshot the sender holds.
    SnapshotReply {
        /// Last entry of the snapshot.
        index: lift_types::LogIndex,
        /// Number of bytes received so far.
        received: u64,
        /// Sending time of the message that is answered.
        sent: u64,
    },
    /// Tells a former leader that there is a newer term. It is not a rejection: the sending
    /// time of a message of an earlier term must never renew a lease.
    OldTerm,
    /// Tells a follower to start an election at once. The sender has stopped leading.
    TimeoutNow,
}
