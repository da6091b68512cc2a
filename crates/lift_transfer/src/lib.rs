//! Decisions of weight distribution: chunk choice, assignment and activation.
//!
//! A [`SwarmView`] tells an agent its neighbours and the [`HomeGroup`]s that it reads
//! first, from the origin or from another region. No I/O, clock or encoding here. See
//! `docs/design.md`, section 7.

mod home_group;
mod swarm_peer;
mod swarm_view;
mod swarm_view_request;
mod upstream;

pub use home_group::HomeGroup;
pub use swarm_peer::SwarmPeer;
pub use swarm_view::SwarmView;
pub use swarm_view_request::SwarmViewRequest;
pub use upstream::Upstream;
