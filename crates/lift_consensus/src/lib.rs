//! The replicated log's decisions, free of I/O.
//!
//! [`Replica`] is one member. Its driver passes in the time and an [`Event`] and carries
//! out the [`Action`]s that it gets back: a [`Write`] to sync, a [`Message`] to send,
//! entries to apply. Elections have pre-votes, a leader holds a lease whose length follows
//! from the drift bound in [`Timing`], and [`MemberChange`]s are made one at a time.
//! `docs/decisions/replicated-log.md` has the reasons.

mod action;
mod entry;
mod entry_log;
mod event;
mod hard_state;
mod leader_state;
mod limits;
mod member;
mod member_change;
mod member_history;
mod member_role;
mod member_set;
mod message;
mod message_body;
mod payload;
mod progress;
mod refusal;
mod replica;
mod replica_config;
mod replica_election;
mod replica_follower;
mod replica_leader;
mod replica_members;
mod replica_replicate;
mod restored;
mod role;
mod snapshot;
mod snapshot_transfer;
mod standing;
mod timing;
mod vote_kind;
mod voting;
mod write;
mod write_queue;

pub use action::Action;
pub use entry::Entry;
pub use event::Event;
pub use hard_state::HardState;
pub use limits::Limits;
pub use member::Member;
pub use member_change::MemberChange;
pub use member_role::MemberRole;
pub use member_set::MemberSet;
pub use message::Message;
pub use message_body::MessageBody;
pub use payload::Payload;
pub use refusal::Refusal;
pub use replica::Replica;
pub use replica_config::ReplicaConfig;
pub use restored::Restored;
pub use snapshot::Snapshot;
pub use standing::Standing;
pub use timing::Timing;
pub use vote_kind::VoteKind;
pub use voting::Voting;
pub use write::Write;
