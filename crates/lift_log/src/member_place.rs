//! Location of the files of a member.

use std::{path, sync};

/// Where the files of a member are.
#[derive(Clone, Debug)]
pub(crate) enum MemberPlace {
    Disk(sync::Arc<dyn lift_disk::Disk>),
    Folder(path::PathBuf),
}
