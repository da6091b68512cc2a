//! Access to the files of a member while its log does not run.

use std::{path, sync};

use error_stack::ResultExt as _;
use lift_disk::Disk as _;

use crate::{disk_owner, fleet_control_error};

type Result<T> =
    std::result::Result<T, error_stack::Report<fleet_control_error::FleetControlError>>;

const FAILED: fleet_control_error::FleetControlError =
    fleet_control_error::FleetControlError::Start("disk");

/// File with the identity of the member. It is removed last: without it, files left by an
/// interrupted removal would belong to no member.
const IDENTITY_FILE: &str = "identity";

/// File with the last identifier of this host that must not be used any more, as decimal digits.
const RETIRED_FILE: &str = "retired";

/// Name under which [`RETIRED_FILE`] is written.
const RETIRED_PARTIAL_FILE: &str = "retired.partial";

/// Determines to which member the files in `folder` belong. Completes an interrupted [`retire`].
pub(crate) fn read_owner(folder: &path::Path) -> Result<disk_owner::DiskOwner> {
    let disk = lift_disk::FileDisk::open(folder).change_context(FAILED)?;
    let retired = read_retired(&disk)?;
    let disk = sync::Arc::new(disk);
    let store = lift_disk::IdentityStore::new(disk.clone());
    let identity = store.load().change_context(FAILED)?;
    match identity.map(|identity| identity.member) {
        Some(member) if Some(member) == retired => {
            clear(&disk)?;
            Ok(disk_owner::DiskOwner::Retired)
        }
        Some(member) => Ok(disk_owner::DiskOwner::Member(member)),
        None if retired.is_some() => Ok(disk_owner::DiskOwner::Retired),
        None => Ok(disk_owner::DiskOwner::Nobody),
    }
}

/// Deletes all files of `member`, which was removed from the cluster, or whose disk is not the one
/// that the other members know under its identifier. The folder keeps a note of that, so that the
/// host never takes this identifier again.
pub(crate) fn retire(folder: &path::Path, member: lift_types::MemberId) -> Result<()> {
    let disk = lift_disk::FileDisk::open(folder).change_context(FAILED)?;
    write_retired(&disk, member)?;
    clear(&disk)
}

fn read_retired(disk: &lift_disk::FileDisk) -> Result<Option<lift_types::MemberId>> {
    let names = disk.list().change_context(FAILED)?;
    if !names.iter().any(|name| name == RETIRED_FILE) {
        return Ok(None);
    }
    let text = disk.read(RETIRED_FILE).change_context(FAILED)?;
    let text = String::from_utf8_lossy(&text);
    text.parse().map(Some).change_context(FAILED)
}

fn write_retired(disk: &lift_disk::FileDisk, member: lift_types::MemberId) -> Result<()> {
    let names = disk.list().change_context(FAILED)?;
    if names.iter().any(|name| name == RETIRED_PARTIAL_FILE) {
        disk.remove(RETIRED_PARTIAL_FILE).change_context(FAILED)?;
    }
    let text = member.to_string();
    let appended = disk.append(RETIRED_PARTIAL_FILE, text.as_bytes());
    appended.change_context(FAILED)?;
    disk.sync(RETIRED_PARTIAL_FILE).change_context(FAILED)?;
    let renamed = disk.rename(RETIRED_PARTIAL_FILE, RETIRED_FILE);
    renamed.change_context(FAILED)
}

/// Deletes all files except the note of the retired identifier.
fn clear(disk: &lift_disk::FileDisk) -> Result<()> {
    let mut names = disk.list().change_context(FAILED)?;
    names.retain(|name| name != RETIRED_FILE);
    names.sort_by_key(|name| name == IDENTITY_FILE);
    for name in names {
        disk.remove(&name).change_context(FAILED)?;
    }
    Ok(())
}
