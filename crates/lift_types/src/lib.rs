//! Identifiers and plain data types that the other crates share.
//!
//! Start with [`Policy`]: the default settings and the exceptions that operators change. A
//! [`Manifest`] describes one version of the weights, split into chunks. A [`Location`]
//! holds the region, failure domain and id of a host. [`RefusalReason`] and [`RetryReason`]
//! list the refusals and retries, each with its own counter. Most remaining files hold
//! identifiers as type aliases.
//!
//! The crate does no I/O. Its logic is limited to its own types, for example hashing chunks,
//! validating manifests, parsing scopes and resolving a policy for a location. `docs/design.md`
//! explains how the types are used.

mod attempt;
mod change_id;
mod chunk_hash;
mod chunk_index;
mod default_lease;
mod exception_value;
mod failure_domain_id;
mod fencing_token;
mod host_id;
mod host_state;
mod idempotency;
mod incarnation;
mod key_group;
mod location;
mod log_index;
mod manifest;
mod manifest_error;
mod member_id;
mod method_id;
mod policy;
mod policy_default;
mod policy_exception;
mod policy_view;
mod priority;
mod refusal_reason;
mod region_id;
mod request_id;
mod retry_reason;
mod revision;
mod scope;
mod scope_error;
mod service_id;
mod service_kind;
mod service_policy;
mod serving_version;
mod term;
mod transfer_goal;
mod version_id;
mod workspace_id;
mod workspace_limits;

pub use attempt::Attempt;
pub use change_id::ChangeId;
pub use chunk_hash::ChunkHash;
pub use chunk_index::ChunkIndex;
pub use default_lease::DEFAULT_LEASE;
pub use exception_value::ExceptionValue;
pub use failure_domain_id::FailureDomainId;
pub use fencing_token::FencingToken;
pub use host_id::HostId;
pub use host_state::HostState;
pub use idempotency::Idempotency;
pub use incarnation::Incarnation;
pub use key_group::KeyGroup;
pub use location::Location;
pub use log_index::LogIndex;
pub use manifest::CHUNK_KEY_GROUPS;
pub use manifest::Manifest;
pub use manifest_error::ManifestError;
pub use member_id::MemberId;
pub use method_id::MethodId;
pub use policy::Policy;
pub use policy_default::PolicyDefault;
pub use policy_exception::PolicyException;
pub use policy_view::PolicyView;
pub use priority::Priority;
pub use refusal_reason::RefusalReason;
pub use region_id::RegionId;
pub use request_id::RequestId;
pub use retry_reason::RetryReason;
pub use revision::Revision;
pub use scope::Scope;
pub use scope_error::ScopeError;
pub use service_id::ServiceId;
pub use service_kind::ServiceKind;
pub use service_policy::ServicePolicy;
pub use serving_version::ServingVersion;
pub use term::Term;
pub use transfer_goal::TransferGoal;
pub use version_id::VersionId;
pub use workspace_id::WorkspaceId;
pub use workspace_limits::WorkspaceLimits;
