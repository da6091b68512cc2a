//! Decisions of request handling, without I/O, clocks or locks.
//!
//! [`Membership`] maintains the set of live hosts from their heartbeats ([`HostReport`]).
//! [`CandidateSet`] holds the hosts of one service, and [`HostSelector`] selects one of them.
//! [`TokenBucket`] and [`FairQueue`] decide which request is admitted and when.
//! [`RetryPolicy`] decides on retries after a failed attempt ([`AttemptFailure`]), within a
//! [`RetryBudget`]. [`ClaimedRequest`] is the state machine of one non-idempotent request.
//!
//! Functions that depend on time or randomness take `now` or a random number generator. See
//! `docs/design.md`, section 8, and `docs/decisions/outcomes.md`.

mod attempt_failure;
mod candidate;
mod candidate_set;
mod claimed_action;
mod claimed_event;
mod claimed_request;
mod dequeued;
mod fair_queue;
mod flap_record;
mod host_criteria;
mod host_report;
mod host_selector;
mod member;
mod membership;
mod queue_item;
mod report_effect;
mod retry_budget;
mod retry_decision;
mod retry_policy;
mod token_bucket;

pub use attempt_failure::AttemptFailure;
pub use candidate::Candidate;
pub use candidate_set::CandidateSet;
pub use claimed_action::ClaimedAction;
pub use claimed_event::ClaimedEvent;
pub use claimed_request::ClaimedRequest;
pub use dequeued::Dequeued;
pub use fair_queue::FairQueue;
pub use host_criteria::HostCriteria;
pub use host_report::HostReport;
pub use host_selector::HostSelector;
pub use member::Member;
pub use membership::{Membership, REMOVE_AFTER, SUSPECT_AFTER};
pub use queue_item::QueueItem;
pub use report_effect::ReportEffect;
pub use retry_budget::RetryBudget;
pub use retry_decision::RetryDecision;
pub use retry_policy::RetryPolicy;
pub use token_bucket::TokenBucket;
