//! Estimate of congestion on a host's link.

use std::time;

/// Round-trip time of a small message above which the link counts as congested. Hosts are a
/// few milliseconds apart, and responses of a backend server may be delayed by about 100 ms.
const CONGESTED_ROUND_TRIP: time::Duration = time::Duration::from_millis(60);

/// Round-trip time above which the link counts as severely congested.
const SEVERE_ROUND_TRIP: time::Duration = time::Duration::from_millis(150);

/// Share of the usual chunk traffic that is allowed on a congested link, in percent.
const CONGESTED_PERCENT: u32 = 50;

/// Share that is allowed on a severely congested link, in percent.
const SEVERE_PERCENT: u32 = 12;

/// Age up to which a round-trip time is used.
const SAMPLE_MAX_AGE: time::Duration = time::Duration::from_millis(700);

/// Time for which a lowered share is kept. A link that is idle only because little is sent would
/// become congested again at once.
const RECOVERY_DELAY: time::Duration = time::Duration::from_millis(1_500);

/// Estimates from round-trip times how much chunk traffic a link can carry.
///
/// On a link whose capacity has dropped below its nominal rate, live requests queue behind
/// chunks. The round-trip times are those of small messages to control members. The minimum of
/// the recent ones indicates the length of the queue; a single one may be long because the other
/// end is slow.
#[derive(Clone, Debug, Default)]
pub struct CongestionEstimator {
    samples: Vec<(time::Instant, time::Duration)>,
    /// Lowest recent share in percent, and the time until which it is kept.
    lowered: Option<(u32, time::Instant)>,
}

impl CongestionEstimator {
    /// Records a round-trip time that was measured at `now`: that of a message which was answered,
    /// or the time for which an unanswered one has waited so far.
    pub fn record(&mut self, now: time::Instant, round_trip: time::Duration) {
        self.samples
            .retain(|(at, _)| now.saturating_duration_since(*at) < SAMPLE_MAX_AGE);
        self.samples.push((now, round_trip));
        let percent = self.current_percent(now);
        let lowered = self.lowered.filter(|(_, until)| now < *until);
        if percent < 100 && lowered.is_none_or(|(lowest, _)| percent <= lowest) {
            self.lowered = Some((percent, now + RECOVERY_DELAY));
        }
    }

    /// Returns the share of the usual chunk traffic that is allowed at `now`, in percent. Without
    /// recent round-trip times the link is assumed to be uncongested, because control may be
    /// unreachable; a share lowered shortly before still applies.
    pub fn allowed_percent(&self, now: time::Instant) -> u32 {
        let lowered = self.lowered.filter(|(_, until)| now < *until);
        lowered
            .map_or(100, |(lowest, _)| lowest)
            .min(self.current_percent(now))
    }

    fn current_percent(&self, now: time::Instant) -> u32 {
        let recent = self
            .samples
            .iter()
            .filter(|(at, _)| now.saturating_duration_since(*at) < SAMPLE_MAX_AGE);
        match recent.map(|(_, round_trip)| *round_trip).min() {
            Some(shortest) if shortest > SEVERE_ROUND_TRIP => SEVERE_PERCENT,
            Some(shortest) if shortest > CONGESTED_ROUND_TRIP => CONGESTED_PERCENT,
            _ => 100,
        }
    }
}
