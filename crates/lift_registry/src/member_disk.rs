//! Files of a member before and after its log runs on them.

use std::{path, sync};

use error_stack::ResultExt as _;
use lift_disk::Disk as _;

use crate::control_fault;

type Result<T> = std::result::Result<T, error_stack::Report<control_fault::ControlFault>>;

const FAILED: control_fault::ControlFault = control_fault::ControlFault::Start("disk");

/// File that must go last: without it the files belong to no member.
const IDENTITY: &str = "identity";

/// Reads under which identifier the files in `folder` were written, or `None` where there
/// are none.
pub(crate) fn identity(folder: &path::Path) -> Result<Option<lift_types::MemberId>> {
    let disk = lift_disk::FileDisk::open(folder).change_context(FAILED)?;
    let store = lift_disk::IdentityStore::new(sync::Arc::new(disk));
    let identity = store.load().change_context(FAILED)?;
    Ok(identity.map(|i| i.member))
}

/// Removes the files of a member that was removed or whose disk is not the one that the
/// others know.
pub(crate) fn clear(folder: &path::Path) -> Result<()> {
    let disk = lift_disk::FileDisk::open(folder).change_context(FAILED)?;
    let mut names = disk.list().change_context(FAILED)?;
    names.sort_by_key(|name| name == IDENTITY);
    for name in names {
        disk.remove(&name).change_context(FAILED)?;
    }
    Ok(())
}
