//! Limit of the bytes that a backend server may send without any content.

use std::sync::atomic;

/// Bytes that may be read before the next part of an answer's content arrives. They cover the
/// head of an answer, and the framing of a body in small chunks.
const MAX_BYTES_WITHOUT_CONTENT: usize = 256 * 1024;

/// Counts the bytes that were read from one connection since it last delivered content.
///
/// The HTTP library reads endless informational heads, chunk sizes or chunk extensions for as long
/// as they arrive. They need no memory, but the processor time of a whole host. See
/// `docs/faults.md`.
#[derive(Debug)]
pub(crate) struct ReadAllowance {
    left: atomic::AtomicUsize,
}

impl ReadAllowance {
    pub(crate) fn new() -> Self {
        Self {
            left: atomic::AtomicUsize::new(MAX_BYTES_WITHOUT_CONTENT),
        }
    }

    /// Restores the whole allowance, because a request was sent or content has arrived.
    pub(crate) fn renew(&self) {
        self.left
            .store(MAX_BYTES_WITHOUT_CONTENT, atomic::Ordering::Relaxed);
    }

    /// Counts `read` bytes. Returns whether they were still allowed.
    pub(crate) fn take(&self, read: usize) -> bool {
        let taken = self.left.try_update(
            atomic::Ordering::Relaxed,
            atomic::Ordering::Relaxed,
            |left| left.checked_sub(read),
        );
        taken.is_ok()
    }
}
