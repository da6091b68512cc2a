//! Selection of a backend server for each request, and retries, without I/O, clock or lock.
//!
//! Gateways, which call backend servers directly, use these decisions. [`ServiceBackends`] holds
//! the backend servers of each service. [`BackendLoad`] estimates the requests at one of them
//! from its delayed load reports and from what this gateway has sent since. [`GatewayShares`]
//! divides the free places of a report between the gateways that all get it. [`BackendSelector`]
//! selects the one with the lowest cost that can accept the request. [`RetryContext`] decides
//! whether to retry after an attempt has failed ([`AttemptFailure`]), and [`GatewayCount`] how many
//! gateways share the burst of retries. [`TargetVersions`]
//! determines on which versions of the weights a request may start. [`ConfirmationLimits`] tells
//! how long a gateway may rely on its configuration, [`ServiceLatency`] how many requests may
//! wait at a server. [`PartQuarantine`] finds the part of a prompt that crashes the backend servers
//! which work on it. [`ColdServer`] limits the requests to a server that has just started, to the
//! part of a common limit that [`ColdShares`] gives each gateway. [`ServiceRanks`] orders requests
//! by urgency, and [`ServiceAdmission`] decides which of them must leave places to more urgent
//! ones.
//!
//! Agents use [`PrefillQueue`] to report how many prompts an engine has not read yet, and
//! [`TargetVersions`] to find the version to load.
//!
//! See `docs/platform.md`.

mod admission;
mod admission_level;
mod admission_rates;
mod admission_terms;
mod attempt_failure;
mod backend;
mod backend_cost;
mod backend_health;
mod backend_load;
mod backend_score;
mod backend_selector;
mod blocked_parts;
mod cold_cost;
mod cold_limit;
mod cold_server;
mod cold_shares;
mod cold_state;
mod confirmation_limits;
mod considered_load;
mod considered_loads;
mod crash_log;
mod distances;
mod gateway_count;
mod gateway_shares;
mod load_sample;
mod locality_costs;
mod lowest_cost;
mod part_answers;
mod part_crash;
mod part_evidence;
mod part_quarantine;
mod prefill_queue;
mod quarantine;
mod quarantine_change;
mod rank_place;
mod region_balance;
mod region_capacity;
mod rejection_reason;
mod request_rank;
mod retry_context;
mod retry_decision;
mod retry_time;
mod returning_callers;
mod selection_error;
mod send_window;
mod server_ends;
mod service_admission;
mod service_backends;
mod service_latency;
mod service_ranks;
mod target_versions;
mod weights_requirement;

pub use admission::Admission;
pub use admission_level::AdmissionLevel;
pub use admission_rates::AdmissionRates;
pub use admission_terms::AdmissionTerms;
pub use attempt_failure::AttemptFailure;
pub use backend::Backend;
pub use backend_health::BackendHealth;
pub use backend_load::{BackendLoad, Ticket};
pub use backend_score::BackendScore;
pub use backend_selector::{BackendSelector, ScoreFn};
pub use blocked_parts::BlockedParts;
pub use cold_limit::ColdLimit;
pub use cold_server::ColdServer;
pub use cold_shares::ColdShares;
pub use cold_state::ColdState;
pub use confirmation_limits::ConfirmationLimits;
pub use considered_load::ConsideredLoad;
pub use considered_loads::ConsideredLoads;
pub use distances::Distances;
pub use gateway_count::GatewayCount;
pub use gateway_shares::GatewayShares;
pub use load_sample::LoadSample;
pub use locality_costs::LocalityCosts;
pub use part_quarantine::PartQuarantine;
pub use prefill_queue::PrefillQueue;
pub use quarantine_change::QuarantineChange;
pub use rank_place::RankPlace;
pub use region_balance::RegionBalance;
pub use region_capacity::RegionCapacity;
pub use rejection_reason::RejectionReason;
pub use request_rank::RequestRank;
pub use retry_context::RetryContext;
pub use retry_decision::RetryDecision;
pub use retry_time::RetryTime;
pub use returning_callers::ReturningCallers;
pub use selection_error::SelectionError;
pub use service_admission::ServiceAdmission;
pub use service_backends::ServiceBackends;
pub use service_latency::ServiceLatency;
pub use service_ranks::ServiceRanks;
pub use target_versions::TargetVersions;
pub use weights_requirement::WeightsRequirement;
