//! Where a request goes and what follows from an attempt, without I/O, clock or lock.
//!
//! These decisions serve gateways, which call backend servers directly. A [`Roster`] holds the
//! backend servers of each service. A [`BackendLoad`] estimates how many requests one of them
//! has, from its delayed reports and from what this gateway has sent since. [`Choice`] picks
//! the one with the lowest cost that has a place. [`AttemptRules`] says what follows from the
//! end of an attempt ([`AttemptEnd`]). [`WeightsGate`] says which versions of the weights a
//! request may begin on.
//!
//! See `docs/platform.md`.

mod attempt_end;
mod attempt_rules;
mod backend;
mod backend_health;
mod backend_load;
mod choice;
mod choice_reason;
mod decline_reason;
mod load_sample;
mod offer;
mod read_queue;
mod roster;
mod verdict;
mod weights_gate;
mod weights_need;

pub use attempt_end::AttemptEnd;
pub use attempt_rules::AttemptRules;
pub use backend::Backend;
pub use backend_health::BackendHealth;
pub use backend_load::{BackendLoad, Ticket};
pub use choice::{Choice, ReadLoad};
pub use choice_reason::ChoiceReason;
pub use decline_reason::DeclineReason;
pub use load_sample::LoadSample;
pub use offer::Offer;
pub use read_queue::ReadQueue;
pub use roster::Roster;
pub use verdict::Verdict;
pub use weights_gate::WeightsGate;
pub use weights_need::WeightsNeed;
