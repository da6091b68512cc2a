//! How crowded a host's link is.

use std::time;

/// Round trip of a small message from which the link counts as crowded. Hosts are a few
/// milliseconds apart, and answers of a backend server may wait for about 100 ms.
const CROWDED_AFTER: time::Duration = time::Duration::from_millis(60);

/// Round trip from which only a trickle of chunks is let through.
const JAMMED_AFTER: time::Duration = time::Duration::from_millis(150);

/// Share of the chunk traffic on a crowded link, in percent.
const CROWDED_PERCENT: u32 = 50;

/// Share on a jammed link, in percent.
const JAMMED_PERCENT: u32 = 12;

/// Time for which a round trip counts.
const SAMPLE_MAX_AGE: time::Duration = time::Duration::from_millis(700);

/// Estimates from round trips how much chunk traffic a link bears.
///
/// A link that has narrowed queues chunks before live requests, whatever its nominal rate. The
/// shortest of the recent round trips shows the queue: a single one may be long because the
/// other end is slow.
#[derive(Clone, Debug, Default)]
pub struct LinkPressure {
    samples: Vec<(time::Instant, time::Duration)>,
}

impl LinkPressure {
    /// Takes in a round trip that ended at `now`.
    pub fn add(&mut self, now: time::Instant, round_trip: time::Duration) {
        self.samples
            .retain(|(at, _)| now.saturating_duration_since(*at) < SAMPLE_MAX_AGE);
        self.samples.push((now, round_trip));
    }

    /// Share of the usual chunk traffic that is allowed at `now`, in percent. Without any
    /// recent round trip the link is taken to be free: control may be away.
    pub fn percent(&self, now: time::Instant) -> u32 {
        let recent = self
            .samples
            .iter()
            .filter(|(at, _)| now.saturating_duration_since(*at) < SAMPLE_MAX_AGE);
        match recent.map(|(_, round_trip)| *round_trip).min() {
            Some(shortest) if shortest > JAMMED_AFTER => JAMMED_PERCENT,
            Some(shortest) if shortest > CROWDED_AFTER => CROWDED_PERCENT,
            _ => 100,
        }
    }
}
