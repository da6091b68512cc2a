//! The agent's weight distribution: chunk exchange, staging and activation.
//!
//! [`Swarm::builder`] describes an agent and starts it. Its tasks share one state with a
//! lock for each part. They take messages, answers and timer ticks, give them as events to
//! the decisions of `lift_transfer` and carry out the actions. Chunks are stored by content
//! in a [`ChunkStore`], whole versions in a [`VersionStore`]. [`Swarm::status`] follows what
//! the agent fetches, holds and serves. See `docs/design.md`, section 7.

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
mod seeds;
mod serve_chunks;
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
