//! The control operations as a trait, with a TCP client and server.
//!
//! [`ControlPort`] is the only interface to the control operations. The control role implements
//! it on top of the replicated log; [`ControlClient`] implements it for entries, which connect to
//! control, and for agents, which connect to the relay port of an entry. [`ControlServer`] serves
//! any `Arc<dyn ControlPort>`, so the relay of an entry is the same server on another port.
//!
//! By default, a node asks every 500 ms whether its revision is current. The reply is valid as of
//! the time at which the request was sent, less the age that a relay reports, so that the clocks
//! of two hosts are never compared. See `docs/design.md`, sections 5 and 9, and
//! `docs/decisions/configuration-in-force.md`.

mod client_config;
mod client_core;
mod client_link;
mod client_route;
mod confirm_loop;
mod confirmation;
mod control_client;
mod control_client_builder;
mod control_error;
mod control_port;
mod control_server;
mod control_server_builder;
mod dispatch;
mod link_io;
mod packet;
mod policy_history;
mod policy_update;
mod relay;
mod renewal_batches;
mod reply;
mod request;
mod server_connection;
mod swarm_port;

pub use confirmation::Confirmation;
pub use control_client::ControlClient;
pub use control_client_builder::ControlClientBuilder;
pub use control_error::ControlError;
pub use control_port::ControlPort;
pub use control_server::ControlServer;
pub use control_server_builder::ControlServerBuilder;
pub use relay::Relay;
pub use swarm_port::SwarmPort;
