//! Weight distribution of an agent: chunk exchange, storage and activation.
//!
//! [`Swarm::builder`] configures an agent and starts it. Its tasks share one state, in which
//! each mutable part has its own lock. They pass messages, replies and timer ticks as events to
//! the state machines of `lift_transfer` and carry out the actions that these return. A
//! [`ChunkStore`] holds chunks by content hash, a [`VersionStore`] the manifests and the
//! assembled weights of versions. [`Swarm::status`] reports what the agent fetches, holds and
//! serves. See `docs/design.md`, section 7.

mod activate;
mod agent;
mod chunk_store;
mod dialer;
mod exchange;
mod fetch;
mod interest;
mod lease_state;
mod messages;
mod peer_link;
mod serve_chunks;
mod staggered_announcements;
mod swarm;
mod swarm_builder;
mod swarm_error;
mod swarm_limits;
mod swarm_status;
mod target;
mod transfer;
mod version_store;

pub use chunk_store::ChunkStore;
pub use lease_state::LeaseState;
pub use swarm::Swarm;
pub use swarm_builder::SwarmBuilder;
pub use swarm_error::SwarmError;
pub use swarm_limits::SwarmLimits;
pub use swarm_status::SwarmStatus;
pub use version_store::VersionStore;
