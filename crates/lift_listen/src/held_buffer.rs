//! A buffer whose memory is counted.

use crate::held_bytes;

/// Smallest capacity of a buffer that holds anything, in bytes.
const MIN_CAPACITY: usize = 4 * 1024;

/// Collects small parts into one allocation. Its capacity is counted rather than its length, and
/// before it is allocated.
#[derive(Debug)]
pub struct HeldBuffer {
    bytes: Vec<u8>,
    held: held_bytes::HeldBytes,
    limit: usize,
}

impl HeldBuffer {
    /// Creates an empty buffer that never needs more than `limit` bytes.
    pub fn new(held: held_bytes::HeldBytes, limit: usize) -> Self {
        Self {
            bytes: Vec::new(),
            held,
            limit,
        }
    }

    /// Number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends `data`. Returns `false`, without a change, if the budget does not allow it.
    #[must_use]
    pub fn push(&mut self, data: &[u8]) -> bool {
        let needed = self.bytes.len() + data.len();
        if needed > self.bytes.capacity() {
            let doubled = (self.bytes.capacity() * 2).max(MIN_CAPACITY);
            let capacity = doubled.min(self.limit).max(needed);
            if !self.held.set(capacity) {
                return false;
            }
            // The system can extend a large allocation in place.
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        true
    }

    /// Whether the budget is short and this buffer is a large one.
    pub fn may_be_dropped(&self) -> bool {
        self.held.may_be_dropped()
    }

    /// Returns the contents. Their memory is counted until the last copy is dropped.
    pub fn finish(self) -> bytes::Bytes {
        match self.bytes.is_empty() {
            true => bytes::Bytes::new(),
            false => bytes::Bytes::from_owner(self),
        }
    }
}

impl AsRef<[u8]> for HeldBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
