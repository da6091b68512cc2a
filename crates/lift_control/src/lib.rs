//! The control role: serves control operations from a replicated state machine.
//!
//! [`ControlMachine`] applies the commands of the replicated log to the state. A
//! [`ControlNode`] implements [`lift_rpc::ControlPort`] on the log: it batches the commands of
//! many callers into few log entries, keeps leases in memory while it leads, and answers reads
//! only while its leader lease is valid. A [`lift_rpc::ControlServer`] serves these operations
//! over TCP. This crate encodes commands, replies and snapshots; the decisions are in
//! `lift_state`. See `docs/design.md`, sections 4 and 9.

mod control_machine;
mod control_node;
mod control_node_builder;
mod control_operations;
mod encoding;
mod leader_term;
mod limits;
mod proposal_batcher;

pub use control_machine::ControlMachine;
pub use control_node::ControlNode;
pub use control_node_builder::ControlNodeBuilder;
