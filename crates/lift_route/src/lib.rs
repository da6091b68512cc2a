//! Decisions of request handling, without I/O, clock or lock.
//!
//! [`Membership`] turns heartbeats ([`HostReport`]) into a view of live hosts.
//! [`CandidateSet`] holds the hosts of one service, and [`HostChoice`] picks one of them.
//! [`TokenBucket`] and [`FairQueue`] decide which request is admitted and when.
//! [`RetryPolicy`] says what follows from the end of an attempt ([`AttemptEnd`]), within a
//! [`RetryBudget`]. [`ClaimedRequest`] is the state machine of one non-idempotent request.
//!
//! Every function takes `now` or a generator of random numbers where it needs one. See
//! `docs/design.md`, section 8, and `docs/decisions/outcomes.md`.

mod attempt_end;
mod candidate;
mod candidate_set;
mod choice_request;
mod claimed_action;
mod claimed_event;
mod claimed_request;
mod fair_queue;
mod flap_record;
mod host_choice;
mod host_report;
mod member;
mod membership;
mod observation;
mod queue_item;
mod queue_turn;
mod retry_budget;
mod retry_policy;
mod retry_verdict;
mod token_bucket;

pub use attempt_end::AttemptEnd;
pub use candidate::Candidate;
pub use candidate_set::CandidateSet;
pub use choice_request::ChoiceRequest;
pub use claimed_action::ClaimedAction;
pub use claimed_event::ClaimedEvent;
pub use claimed_request::ClaimedRequest;
pub use fair_queue::FairQueue;
pub use host_choice::HostChoice;
pub use host_report::HostReport;
pub use member::Member;
pub use membership::{Membership, REMOVE_AFTER, SUSPECT_AFTER};
pub use observation::Observation;
pub use queue_item::QueueItem;
pub use queue_turn::QueueTurn;
pub use retry_budget::RetryBudget;
pub use retry_policy::RetryPolicy;
pub use retry_verdict::RetryVerdict;
pub use token_bucket::TokenBucket;
