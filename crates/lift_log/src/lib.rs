//! The replicated log as a trait, and the driver that runs it on disks and connections.
//!
//! [`ReplicatedLog`] is what the control role uses: it proposes commands and learns who
//! leads. [`StateMachine`] is what the log drives: it applies committed commands in order.
//! The driver joins the decisions of `lift_consensus` with the files of `lift_disk` and the
//! connections of `lift_wire`. See `docs/design.md`, section 9.

mod leadership;
mod propose_error;
mod replicated_log;
mod state_machine;

pub use leadership::Leadership;
pub use propose_error::ProposeError;
pub use replicated_log::ReplicatedLog;
pub use state_machine::StateMachine;
