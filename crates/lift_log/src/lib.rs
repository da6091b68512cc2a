//! The replicated log as a trait, and the driver that runs it on disks and connections.
//!
//! Control members use [`ReplicatedLog`] to propose commands and to observe which member
//! leads. The log applies committed commands in order to a [`StateMachine`]. [`LogDriver`]
//! connects the decisions of `lift_consensus` with the files of `lift_disk` and the connections
//! of `lift_wire`. See `docs/design.md`, section 9, and `docs/decisions/replicated-log.md`.

mod apply_thread;
mod binding;
mod bindings;
mod change_error;
mod company;
mod disk_thread;
mod leadership;
mod link_switch;
mod log_driver;
mod log_driver_builder;
mod log_end;
mod log_owner;
mod log_status;
mod log_supervisor;
mod member_files;
mod member_place;
mod member_start;
mod node;
mod peer_frame;
mod peer_link;
mod peer_links;
mod peer_port;
mod proposal;
mod propose_error;
mod replicated_log;
mod snapshot_thread;
mod start_error;
mod state_machine;
mod supervised_log;
mod timer_thread;
mod waiters;

pub use change_error::ChangeError;
pub use leadership::Leadership;
pub use link_switch::LinkSwitch;
pub use log_driver::LogDriver;
pub use log_driver_builder::LogDriverBuilder;
pub use log_end::LogEnd;
pub use log_owner::LogOwner;
pub use log_status::LogStatus;
pub use log_supervisor::LogSupervisor;
pub use propose_error::ProposeError;
pub use replicated_log::ReplicatedLog;
pub use start_error::StartError;
pub use state_machine::StateMachine;
pub use supervised_log::SupervisedLog;

/// Longest command, in bytes. It fits into a frame together with the head of its message.
pub const MAX_COMMAND_BYTES: usize = 4 * 1024 * 1024;
