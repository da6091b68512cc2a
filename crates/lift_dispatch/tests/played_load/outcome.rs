//! What callers got.

/// Counts of requests by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    /// First event within the target latency.
    pub(crate) in_time: usize,
    /// First event later than that.
    pub(crate) late: usize,
    /// Refused by the gateway or by a full engine.
    pub(crate) refused: usize,
}

impl Outcome {
    /// Share of the admitted requests that were in time.
    pub(crate) fn in_time_share(&self) -> f64 {
        self.in_time as f64 / (self.in_time + self.late).max(1) as f64
    }

    /// Share of all requests that were in time.
    pub(crate) fn served_share(&self) -> f64 {
        self.in_time as f64 / (self.in_time + self.late + self.refused).max(1) as f64
    }

    /// Share of all requests that were refused.
    pub(crate) fn refused_share(&self) -> f64 {
        self.refused as f64 / (self.in_time + self.late + self.refused).max(1) as f64
    }
}
