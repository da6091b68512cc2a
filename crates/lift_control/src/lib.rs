//! The control role: drives the replicated log and serves control operations.
//!
//! [`ControlMachine`] applies the commands of the replicated log to the state. A
//! [`ControlNode`] implements [`lift_rpc::ControlPort`] on the log: it gathers the commands
//! of many callers into few entries, keeps leases in memory while it leads, and answers
//! reads only within its leader lease. A [`lift_rpc::ControlServer`] serves it over TCP.
//! Encoding stays in this crate; the decisions are in `lift_state`. See `docs/design.md`,
//! sections 4 and 9.

mod control_machine;
mod control_node;
mod control_node_builder;
mod control_operations;
mod encoding;
mod limits;
mod proposals;
mod tenure;

pub use control_machine::ControlMachine;
pub use control_node::ControlNode;
pub use control_node_builder::ControlNodeBuilder;
