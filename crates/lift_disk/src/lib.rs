//! The replicated log, snapshots and identity of a member on its disk.
//!
//! [`LogStore`] writes the log as checksummed records in segments and syncs each record
//! before the next. [`SnapshotStore`] saves snapshots, [`IdentityStore`] the binding of the
//! disk to its member. All of them use the [`Disk`] trait: [`FileDisk`] is a folder of the
//! operating system, [`ForgetfulDisk`] a stand-in that loses what was not synced.
//! `docs/decisions/replicated-log.md` describes the format.

mod disk;
mod disk_error;
mod file_disk;
mod file_head;
mod forgetful_disk;
mod identity;
mod identity_store;
mod log_store;
mod record;
mod replay;
mod segment;
mod snapshot_store;

pub use disk::Disk;
pub use disk_error::DiskError;
pub use file_disk::FileDisk;
pub use forgetful_disk::ForgetfulDisk;
pub use identity::Identity;
pub use identity_store::IdentityStore;
pub use log_store::LogStore;
pub use snapshot_store::SnapshotStore;

/// Version of the file formats. It is part of the head of each file.
pub const FORMAT_VERSION: u16 = 1;
