//! When a new version of the weights becomes the only one.

use std::time;

/// Part of the grace for backend servers that may begin late, in percent.
const SLOW_GRACE_PERCENT: u32 = 60;

/// Named versions of the weights, and since when each is known.
///
/// A request may begin on an older version until a newer one has been named for `grace`. From
/// then on only backend servers that hold at least that one get requests: by then all are to
/// have it, and one that has been left behind must not answer. Each version counts from its own
/// naming, also when further ones are named meanwhile.
#[derive(Clone, Debug)]
pub struct WeightsGate {
    grace: time::Duration,
    named: indexmap::IndexMap<lift_fleet::ModelName, Vec<Named>>,
}

/// A version and when it was named.
type Named = (lift_fleet::WeightsVersion, time::Instant);

impl WeightsGate {
    /// Accepts older versions for `grace`.
    pub fn new(grace: time::Duration) -> Self {
        Self {
            grace,
            named: indexmap::IndexMap::new(),
        }
    }

    /// Takes in at `now` that `version` was named at `named_at`, or long ago. A later call
    /// corrects the time.
    pub fn name(
        &mut self,
        now: time::Instant,
        model: &lift_fleet::ModelName,
        version: lift_fleet::WeightsVersion,
        named_at: Option<time::Instant>,
    ) {
        let grace = self.grace;
        let long_ago = now.checked_sub(grace * 2).unwrap_or(now);
        let at = named_at.unwrap_or(long_ago);
        let named = self.named.entry(model.clone()).or_default();
        match named.last_mut() {
            Some((newest, known_at)) if *newest == version => *known_at = at,
            Some((newest, _)) if *newest > version => return,
            _ => named.push((version, at)),
        }
        // Of the versions whose time is over only the newest still counts.
        let over = named
            .iter()
            .filter(|(_, at)| is_over(now, *at, grace))
            .count();
        named.drain(..over.saturating_sub(1));
    }

    /// Lowest version of `model` on which a request may begin at `now`.
    pub fn at_least(&self, now: time::Instant, model: &str) -> lift_fleet::WeightsVersion {
        let Some(named) = self.named.get(model) else {
            return 0;
        };
        let over = named.iter().rfind(|(_, at)| is_over(now, *at, self.grace));
        over.map_or(0, |(version, _)| *version)
    }

    /// Lowest version for a backend server that can't be relied on to begin at once, because
    /// its host or link may be in trouble: requests may reach it late.
    pub fn at_least_if_slow(&self, now: time::Instant, model: &str) -> lift_fleet::WeightsVersion {
        let early = now + self.grace * (100 - SLOW_GRACE_PERCENT) / 100;
        self.at_least(early, model)
    }

    /// Newest named version of `model`, 0 where none was named.
    pub fn newest(&self, model: &str) -> lift_fleet::WeightsVersion {
        let named = self.named.get(model).and_then(|named| named.last());
        named.map_or(0, |(version, _)| *version)
    }

    /// Time until a backend server that holds `version` gets no more requests, as of `now`.
    pub fn time_left(
        &self,
        now: time::Instant,
        model: &str,
        version: lift_fleet::WeightsVersion,
    ) -> Option<time::Duration> {
        let named = self.named.get(model)?;
        let (_, at) = named.iter().find(|(newer, _)| *newer > version)?;
        Some((*at + self.grace).saturating_duration_since(now))
    }
}

fn is_over(now: time::Instant, at: time::Instant, grace: time::Duration) -> bool {
    now.saturating_duration_since(at) > grace
}
