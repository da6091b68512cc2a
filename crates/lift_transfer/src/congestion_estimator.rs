//! Estimate of congestion on a host's link.

use std::{net, time};

use crate::round_trip_sample;

/// Round-trip time of a small message above which the link counts as congested. Hosts are a
/// few milliseconds apart, and responses of a backend server may be delayed by about 100 ms.
const CONGESTED_ROUND_TRIP: time::Duration = time::Duration::from_millis(60);

/// Round-trip time above which the link counts as severely congested.
const SEVERE_ROUND_TRIP: time::Duration = time::Duration::from_millis(150);

/// Share of the usual chunk traffic that is allowed on a congested link, in percent.
const CONGESTED_PERCENT: u32 = 50;

/// Share that is allowed on a severely congested link, in percent.
const SEVERE_PERCENT: u32 = 12;

/// Number of control members that must be silent for a link to count as congested. One alone may
/// have stopped.
const MIN_SILENT_MEMBERS: usize = 2;

/// Time after which a control member without a further sample is forgotten.
const MEMBER_MAX_AGE: time::Duration = time::Duration::from_secs(5);

/// Shares through which a lowered one rises again, in percent.
const RECOVERY_STEPS: [u32; 2] = [50, 75];

/// Time for which a lowered share, and each step of its recovery, is kept. A link that is idle only
/// because little is sent would become congested again at once.
const RECOVERY_DELAY: time::Duration = time::Duration::from_millis(1_500);

/// Estimates from round-trip times how much chunk traffic a link can carry.
///
/// On a link whose capacity has dropped below its nominal rate, live requests queue behind
/// chunks. The round-trip times are those of small messages to control members. The minimum of
/// the recent ones indicates the length of the queue.
#[derive(Clone, Debug, Default)]
pub struct CongestionEstimator {
    samples: Vec<round_trip_sample::RoundTripSample>,
    /// Time of the last sample of each member.
    members: indexmap::IndexMap<net::SocketAddr, time::Instant>,
    /// Lowered share in percent, and the time until which it is kept at least.
    lowered: Option<(u32, time::Instant)>,
}

impl CongestionEstimator {
    /// Records the round-trip time of a message that `member` has answered by `now`.
    pub fn record(
        &mut self,
        now: time::Instant,
        member: net::SocketAddr,
        round_trip: time::Duration,
    ) {
        self.add(round_trip_sample::RoundTripSample {
            at: now,
            member,
            round_trip,
            is_answered: true,
        });
    }

    /// Records that a message which `member` has not answered has waited for `waited` by `now`.
    pub fn record_unanswered(
        &mut self,
        now: time::Instant,
        member: net::SocketAddr,
        waited: time::Duration,
    ) {
        self.add(round_trip_sample::RoundTripSample {
            at: now,
            member,
            round_trip: waited,
            is_answered: false,
        });
    }

    fn add(&mut self, sample: round_trip_sample::RoundTripSample) {
        let now = sample.at;
        self.samples.retain(|sample| sample.is_recent(now));
        self.samples.push(sample);
        self.members
            .retain(|_, at| now.saturating_duration_since(*at) < MEMBER_MAX_AGE);
        self.members.insert(sample.member, now);
        let percent = self.current_percent(now);
        let kept = match self.lowered {
            Some((share, until)) if now >= until && sample.is_answered => next_share(share),
            Some((share, _)) => share,
            None => 100,
        };
        let has_risen = self.lowered.is_some_and(|(share, _)| kept > share);
        if percent < 100 && percent <= kept {
            self.lowered = Some((percent, now + RECOVERY_DELAY));
        } else if has_risen {
            self.lowered = (kept < 100).then_some((kept, now + RECOVERY_DELAY));
        }
    }

    /// Returns the share of the usual chunk traffic that is allowed at `now`, in percent. A lowered
    /// share rises step by step, and only on short round-trip times: a link on which nothing is
    /// answered any more has not recovered. A link that was never congested is assumed to be free
    /// even without answers, because control may be unreachable.
    pub fn allowed_percent(&self, now: time::Instant) -> u32 {
        let lowered = self.lowered.map_or(100, |(share, _)| share);
        lowered.min(self.current_percent(now))
    }

    /// Returns the share of the usual traffic that the link can carry, in percent. `None` if that
    /// is not known, since no recent round-trip time is.
    pub fn link_percent(&self, now: time::Instant) -> Option<u32> {
        let percent = self.allowed_percent(now);
        (percent < 100 || self.is_measured(now)).then_some(percent)
    }

    /// Whether a member has answered recently enough for the round-trip time to be used at `now`.
    fn is_measured(&self, now: time::Instant) -> bool {
        let mut answered = self.samples.iter().filter(|sample| sample.is_answered);
        answered.any(|sample| sample.is_recent(now))
    }

    fn current_percent(&self, now: time::Instant) -> u32 {
        let recent = self.samples.iter().filter(|sample| sample.is_recent(now));
        let is_answered = recent.clone().any(|sample| sample.is_answered);
        let members: indexmap::IndexSet<_> = recent.clone().map(|s| s.member).collect();
        if !is_answered && members.len() < self.members.len().min(MIN_SILENT_MEMBERS) {
            return 100;
        }
        match recent.map(|sample| sample.round_trip).min() {
            Some(shortest) if shortest > SEVERE_ROUND_TRIP => SEVERE_PERCENT,
            Some(shortest) if shortest > CONGESTED_ROUND_TRIP => CONGESTED_PERCENT,
            _ => 100,
        }
    }
}

/// The share that follows `share` when a link recovers.
fn next_share(share: u32) -> u32 {
    let next = RECOVERY_STEPS.into_iter().find(|step| *step > share);
    next.unwrap_or(100)
}
