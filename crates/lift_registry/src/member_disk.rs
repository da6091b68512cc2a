//! Access to the files of a member while its log does not run.

use std::{path, sync};

use error_stack::ResultExt as _;
use lift_disk::Disk as _;

use crate::fleet_control_error;

type Result<T> =
    std::result::Result<T, error_stack::Report<fleet_control_error::FleetControlError>>;

const FAILED: fleet_control_error::FleetControlError =
    fleet_control_error::FleetControlError::Start("disk");

/// File with the identity of the member. It is removed last: without it, files left by an
/// interrupted removal would belong to no member.
const IDENTITY_FILE: &str = "identity";

/// Reads the identifier of the member that wrote the files in `folder`, or `None` if there is no
/// identity file.
pub(crate) fn read_identity(folder: &path::Path) -> Result<Option<lift_types::MemberId>> {
    let disk = lift_disk::FileDisk::open(folder).change_context(FAILED)?;
    let store = lift_disk::IdentityStore::new(sync::Arc::new(disk));
    let identity = store.load().change_context(FAILED)?;
    Ok(identity.map(|i| i.member))
}

/// Deletes all files of a member that was removed from the cluster, or whose disk is not the one
/// that the other members know under its identifier.
pub(crate) fn clear(folder: &path::Path) -> Result<()> {
    let disk = lift_disk::FileDisk::open(folder).change_context(FAILED)?;
    let mut names = disk.list().change_context(FAILED)?;
    names.sort_by_key(|name| name == IDENTITY_FILE);
    for name in names {
        disk.remove(&name).change_context(FAILED)?;
    }
    Ok(())
}
