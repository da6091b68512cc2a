//! The right to have the staging area loaded.

use tokio::sync as tokio_sync;

/// The right to order a load. While it is held, no write to the staging area is on its way.
#[derive(Debug)]
pub(crate) struct LoadPermit {
    _access: tokio_sync::OwnedRwLockWriteGuard<()>,
}

impl LoadPermit {
    pub(crate) fn new(access: tokio_sync::OwnedRwLockWriteGuard<()>) -> Self {
        Self { _access: access }
    }
}
