//! Raft-style consensus for the replicated log, without I/O.
//!
//! [`Replica`] holds the consensus state of one member. Its driver calls [`Replica::step`]
//! with the current time and an [`Event`], and carries out the returned [`Action`]s: sync a
//! [`Write`], send a [`Message`], apply entries. Elections use pre-votes, the leader holds a
//! lease whose length follows from the clock drift bound in [`Timing`], and the member set
//! changes by one [`MemberChange`] at a time. `docs/decisions/replicated-log.md` gives the
//! reasons for this design.

mod action;
mod entry;
mod entry_log;
mod event;
mod hard_state;
mod leader_state;
mod leadership_status;
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
mod recovered_state;
mod refusal;
mod replay;
mod replica;
mod replica_config;
mod replica_election;
mod replica_follower;
mod replica_leader;
mod replica_members;
mod replica_replicate;
mod role;
mod snapshot;
mod snapshot_transfer;
mod timing;
mod vote_kind;
mod voting;
mod write;
mod write_queue;

pub use action::Action;
pub use entry::Entry;
pub use event::Event;
pub use hard_state::HardState;
pub use leadership_status::LeadershipStatus;
pub use limits::Limits;
pub use member::Member;
pub use member_change::MemberChange;
pub use member_role::MemberRole;
pub use member_set::MemberSet;
pub use message::Message;
pub use message_body::MessageBody;
pub use payload::Payload;
pub use recovered_state::RecoveredState;
pub use refusal::Refusal;
pub use replica::Replica;
pub use replica_config::ReplicaConfig;
pub use snapshot::Snapshot;
pub use timing::Timing;
pub use vote_kind::VoteKind;
pub use voting::Voting;
pub use write::Write;
