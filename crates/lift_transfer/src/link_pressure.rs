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

/// Time for which a lowered share is kept. A link that is free only because little is sent would
/// be crowded again at once.
const HOLD: time::Duration = time::Duration::from_millis(1_500);

/// Estimates from round trips how much chunk traffic a link bears.
///
/// A link that has narrowed queues chunks before live requests, whatever its nominal rate. The
/// shortest of the recent round trips shows the queue: a single one may be long because the
/// other end is slow.
#[derive(Clone, Debug, Default)]
pub struct LinkPressure {
    samples: Vec<(time::Instant, time::Duration)>,
    /// The lowest share lately, and until when it holds.
    held: Option<(u32, time::Instant)>,
}

impl LinkPressure {
    /// Takes in a round trip that ended at `now`.
    pub fn add(&mut self, now: time::Instant, round_trip: time::Duration) {
        self.samples
            .retain(|(at, _)| now.saturating_duration_since(*at) < SAMPLE_MAX_AGE);
        self.samples.push((now, round_trip));
        let percent = self.momentary(now);
        let held = self.held.filter(|(_, until)| now < *until);
        if percent < 100 && held.is_none_or(|(lowest, _)| percent <= lowest) {
            self.held = Some((percent, now + HOLD));
        }
    }

    /// Share of the usual chunk traffic that is allowed at `now`, in percent. Without any
    /// recent round trip the link is taken to be free: control may be away.
    pub fn percent(&self, now: time::Instant) -> u32 {
        let held = self.held.filter(|(_, until)| now < *until);
        held.map_or(100, |(lowest, _)| lowest)
            .min(self.momentary(now))
    }

    fn momentary(&self, now: time::Instant) -> u32 {
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
