//! Content of a message between members.

use crate::{entry, member_set, vote_kind};

/// Request or reply of the protocol. Messages may be lost, duplicated or reordered.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum MessageBody {
    /// Requests a vote, or asks in a pre-vote whether it would be granted.
    Vote {
        /// Pre-vote, regular vote or vote in a leadership transfer.
        kind: vote_kind::VoteKind,
        /// Index of the candidate's last entry.
        last_index: lift_types::LogIndex,
        /// Term of that entry.
        last_term: lift_types::Term,
    },
    /// Replies to a vote request.
    VoteReply {
        /// Kind of the request.
        kind: vote_kind::VoteKind,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Appends entries. Without entries it is a heartbeat.
    Append {
        /// Index of the entry that precedes `entries`.
        prev_index: lift_types::LogIndex,
        /// Term of that entry.
        prev_term: lift_types::Term,
        /// Entries to append.
        entries: Vec<entry::Entry>,
        /// Commit index of the leader.
        commit: lift_types::LogIndex,
        /// Sending time on the leader's clock, in ns. The reply echoes it.
        sent: u64,
    },
    /// Confirms that the sender's log matches the leader's up to `matched` and is synced.
    Accepted {
        /// Index of the last entry that matches and is synced.
        matched: lift_types::LogIndex,
        /// Sending time of the message to which this replies.
        sent: u64,
    },
    /// Rejects an append message because its preceding entry is missing or has another term.
    Rejected {
        /// Index of the preceding entry.
        prev_index: lift_types::LogIndex,
        /// Index that the leader should use as `prev_index` in its next attempt.
        hint: lift_types::LogIndex,
        /// Sending time of the message to which this replies.
        sent: u64,
    },
    /// Transfers a part of a snapshot.
    SnapshotPart {
        /// Index of the last entry that the snapshot includes.
        index: lift_types::LogIndex,
        /// Term of that entry.
        last_term: lift_types::Term,
        /// Members as of that entry.
        members: member_set::MemberSet,
        /// Offset of the part in the encoded state, in bytes.
        offset: u64,
        /// Size of the whole encoded state, in bytes.
        total: u64,
        /// Content of the part.
        part: bytes::Bytes,
        /// Sending time on the leader's clock, in ns. The reply echoes it.
        sent: u64,
    },
    /// Reports how much of a snapshot the sender has received.
    SnapshotReply {
        /// Index of the last entry that the snapshot includes.
        index: lift_types::LogIndex,
        /// Number of bytes received so far.
        received: u64,
        /// Sending time of the message to which this replies.
        sent: u64,
    },
    /// Notifies a former leader that there is a newer term. Unlike `Rejected` it carries no
    /// sending time, because a message of an earlier term must never renew a lease.
    OldTerm,
    /// Requests that a follower start an election immediately. The sender has stepped down.
    TimeoutNow,
}
