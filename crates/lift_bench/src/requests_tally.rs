//! What the callers of the request experiment saw.

/// Shards, more than the threads of the callers.
const SHARDS: usize = 16;

/// Counts and latencies, in shards by request.
#[derive(Debug)]
pub(crate) struct RequestsTally {
    shards: lift_shard::Shards<RequestsCounts>,
}

/// Counts and latencies of a part of the requests, in microseconds.
#[derive(Clone, Debug)]
pub(crate) struct RequestsCounts {
    pub(crate) through: hdrhistogram::Histogram<u64>,
    pub(crate) direct: hdrhistogram::Histogram<u64>,
    pub(crate) releases: hdrhistogram::Histogram<u64>,
    pub(crate) lost: u64,
    pub(crate) wrong: u64,
    pub(crate) false_not_run: u64,
    pub(crate) in_doubt: u64,
    /// Keys of releases, and whether each was answered.
    pub(crate) keys: Vec<(String, bool)>,
}

impl RequestsTally {
    /// Starts at zero; `None` where the histograms can't be made.
    pub(crate) fn new() -> Option<Self> {
        let counts = RequestsCounts::new()?;
        Some(Self {
            shards: lift_shard::Shards::new(SHARDS, |_| counts.clone()),
        })
    }

    /// Calls `f` with the counts of the part that request number `request` belongs to.
    pub(crate) fn with<R>(&self, request: u64, f: impl FnOnce(&mut RequestsCounts) -> R) -> R {
        self.shards.with_position(request as usize, f)
    }

    /// All counts together.
    pub(crate) fn total(&self) -> Option<RequestsCounts> {
        let total = RequestsCounts::new()?;
        Some(self.shards.fold(total, |mut total, part| {
            let _ = total.through.add(&part.through);
            let _ = total.direct.add(&part.direct);
            let _ = total.releases.add(&part.releases);
            total.lost += part.lost;
            total.wrong += part.wrong;
            total.false_not_run += part.false_not_run;
            total.in_doubt += part.in_doubt;
            total.keys.append(&mut part.keys);
            total
        }))
    }
}

impl RequestsCounts {
    fn new() -> Option<Self> {
        let histogram = hdrhistogram::Histogram::new(3).ok()?;
        Some(Self {
            through: histogram.clone(),
            direct: histogram.clone(),
            releases: histogram,
            lost: 0,
            wrong: 0,
            false_not_run: 0,
            in_doubt: 0,
            keys: Vec::new(),
        })
    }
}
