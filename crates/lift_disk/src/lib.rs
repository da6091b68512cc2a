//! Durable storage of the replicated log, snapshots and identity of a member.
//!
//! [`LogStore`] writes the log as checksummed records in segments and syncs each record
//! before the next. [`SnapshotStore`] stores snapshots, and [`IdentityStore`] the binding of
//! the disk to its member. All of them use the [`Disk`] trait. [`FileDisk`] implements it with
//! a folder in the file system, [`SimulatedDisk`] with files in memory that lose unsynced data
//! in a simulated crash.
//! `docs/decisions/replicated-log.md` describes the format.

mod disk;
mod disk_error;
mod file_disk;
mod file_header;
mod identity;
mod identity_store;
mod log_store;
mod record;
mod replay;
mod segment;
mod simulated_disk;
mod snapshot_store;

pub use disk::Disk;
pub use disk_error::DiskError;
pub use file_disk::FileDisk;
pub use identity::Identity;
pub use identity_store::IdentityStore;
pub use log_store::LogStore;
pub use simulated_disk::SimulatedDisk;
pub use snapshot_store::SnapshotStore;

/// Version of the file formats. It is part of the header of each file.
pub const FORMAT_VERSION: u16 = 1;
