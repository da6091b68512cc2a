//! Which target versions the leader held at which time.

use std::{collections, time};

/// Answers of the leader that are kept, each with other versions than the one before. The time of a
/// naming that is applied later than that is unknown.
const MAX_HEADS: usize = 16;

type TargetVersions = indexmap::IndexMap<lift_fleet::ModelName, lift_fleet::WeightsVersion>;

/// The latest answers of the leader about target versions.
///
/// A version that the leader did not hold when a question was asked was not acknowledged to anybody
/// before. That holds however late this member hears of the version, which its own clock can't tell.
#[derive(Debug, Default)]
pub(crate) struct LeaderHeads {
    heads: collections::VecDeque<(time::Instant, TargetVersions)>,
}

impl LeaderHeads {
    /// Records that the leader held the versions of `head` after it was asked at `asked_at`.
    pub(crate) fn record(&mut self, asked_at: time::Instant, head: &lift_feed::FleetHead) {
        let versions = head.weights.iter();
        let versions = versions.map(|(model, named)| (model.clone(), named.version));
        let versions: TargetVersions = versions.collect();
        if let Some((at, held)) = self.heads.back_mut()
            && *held == versions
        {
            *at = asked_at.max(*at);
            return;
        }
        if self.heads.len() >= MAX_HEADS {
            self.heads.pop_front();
        }
        self.heads.push_back((asked_at, versions));
    }

    /// The latest known time before which `version` was not acknowledged to anybody.
    pub(crate) fn not_before(
        &self,
        model: &lift_fleet::ModelName,
        version: lift_fleet::WeightsVersion,
    ) -> Option<time::Instant> {
        let is_older = |held: &TargetVersions| held.get(model).is_none_or(|held| *held < version);
        let earlier = self.heads.iter().filter(|(_, held)| is_older(held));
        earlier.map(|(at, _)| *at).max()
    }
}
