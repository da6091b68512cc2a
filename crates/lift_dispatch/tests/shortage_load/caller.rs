//! Requests of callers.

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    pub(crate) kind: usize,
    pub(crate) workspace: usize,
    /// Size relative to the mean of the kind.
    pub(crate) size: f64,
    pub(crate) sent_ms: u64,
    /// Whether it has been refused before.
    pub(crate) is_back: bool,
    /// When it reached the gateway.
    pub(crate) arrived_ms: u64,
    pub(crate) gateway: usize,
}

/// Sizes of requests with their weights, relative to the mean, which is about 1.
const SIZES: [(f64, f64); 5] = [(0.4, 0.2), (0.7, 0.3), (1.0, 0.2), (1.4, 0.2), (2.3, 0.1)];

/// Size at which a request belongs to the largest tenth of its kind.
pub(crate) const LARGEST_TENTH: f64 = 2.0;

/// Size at which a request belongs to the largest three tenths of its kind.
pub(crate) const LARGE: f64 = 1.2;

/// The size of a request from a random number.
pub(crate) fn size(mut uniform: f64) -> f64 {
    for (size, weight) in SIZES {
        if uniform < weight {
            return size;
        }
        uniform -= weight;
    }
    1.0
}
