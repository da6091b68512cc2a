//! What callers got.

/// Counts of callers by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) in_time: usize,
    pub(crate) late: usize,
    /// Refused twice, or lost with an engine.
    pub(crate) failed: usize,
    /// Refused at the first attempt.
    pub(crate) refused_first: usize,
    /// Served at the second attempt.
    pub(crate) returned: usize,
}

impl Tally {
    fn total(&self) -> f64 {
        (self.in_time + self.late + self.failed).max(1) as f64
    }

    /// Share of the callers that were served.
    pub(crate) fn served(&self) -> f64 {
        (self.in_time + self.late) as f64 / self.total()
    }

    /// Share of the callers that were served in time.
    pub(crate) fn in_time(&self) -> f64 {
        self.in_time as f64 / self.total()
    }

    /// Share of the callers that were refused at first.
    pub(crate) fn refused_first(&self) -> f64 {
        self.refused_first as f64 / self.total()
    }

    /// Share of the value that was earned.
    pub(crate) fn worth(&self, late_worth: f64) -> f64 {
        (self.in_time as f64 + late_worth * self.late as f64) / self.total()
    }

    pub(crate) fn add(&mut self, other: &Tally) {
        self.in_time += other.in_time;
        self.late += other.late;
        self.failed += other.failed;
        self.refused_first += other.refused_first;
        self.returned += other.returned;
    }
}
