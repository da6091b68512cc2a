//! When a new version of the weights becomes the only one.

use std::time;

/// Newest named versions of the weights, and since when each is known.
///
/// A request may begin on an older version until the new one has been named for `grace`. From
/// then on only backend servers that hold the new one get requests: by then all are to have
/// it, and one that has been left behind must not answer.
#[derive(Clone, Debug)]
pub struct WeightsGate {
    grace: time::Duration,
    named: indexmap::IndexMap<lift_fleet::ModelName, (lift_fleet::WeightsVersion, time::Instant)>,
}

impl WeightsGate {
    /// Accepts older versions for `grace`.
    pub fn new(grace: time::Duration) -> Self {
        Self {
            grace,
            named: indexmap::IndexMap::new(),
        }
    }

    /// Takes in that `version` was named, as heard at `now`.
    pub fn name(
        &mut self,
        now: time::Instant,
        model: &lift_fleet::ModelName,
        version: lift_fleet::WeightsVersion,
    ) {
        let known = self.named.get(model).map_or(0, |(known, _)| *known);
        if version > known {
            self.named.insert(model.clone(), (version, now));
        }
    }

    /// Lowest version of `model` on which a request may begin at `now`.
    pub fn at_least(&self, now: time::Instant, model: &str) -> lift_fleet::WeightsVersion {
        match self.named.get(model) {
            Some((version, since)) if now.saturating_duration_since(*since) > self.grace => {
                *version
            }
            _ => 0,
        }
    }
}
