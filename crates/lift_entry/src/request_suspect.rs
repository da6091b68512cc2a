//! What a request is known by in another submission.

use std::{sync, sync::atomic};

/// Digest of a request, and the backend servers that have ended on this submission of it.
///
/// The digest is computed only once it is needed: while no backend server ends, no request is
/// hashed.
#[derive(Debug, Default)]
pub(crate) struct RequestSuspect {
    digest: sync::OnceLock<lift_fleet::RequestDigest>,
    ends: atomic::AtomicU32,
}

impl RequestSuspect {
    /// Returns the digest, which `compute` returns at the first call.
    pub(crate) fn digest(
        &self,
        compute: impl FnOnce() -> lift_fleet::RequestDigest,
    ) -> &lift_fleet::RequestDigest {
        self.digest.get_or_init(compute)
    }

    /// Counts the end of a backend server.
    pub(crate) fn count_end(&self) {
        self.ends.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Number of attempts at whose backend server it ended.
    pub(crate) fn ends(&self) -> u32 {
        self.ends.load(atomic::Ordering::Relaxed)
    }
}
