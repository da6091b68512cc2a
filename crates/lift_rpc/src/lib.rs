//! The control operations as a trait, with a TCP client and server.
//!
//! [`ControlPort`] is the one way to use control. The control role implements it on top of
//! the replicated log; the TCP client implements it for entries, which talk to control, and
//! for agents, which talk to the relay port of an entry. The TCP server serves any
//! `Arc<dyn ControlPort>`, so the relay of an entry is the same server on another port.
//! See `docs/design.md`, section 5.

mod control_error;
mod control_port;
mod swarm_port;

pub use control_error::ControlError;
pub use control_port::ControlPort;
pub use swarm_port::SwarmPort;
