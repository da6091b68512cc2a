//! Target versions of the weights, and from when on they are required.

use std::time;

/// Share of the grace period after which a backend server that may start requests late must
/// hold the target version, in percent.
const SLOW_GRACE_PERCENT: u32 = 60;

/// Part of the grace period, as a divisor, that a request may take to start after the period has
/// expired. Requests wait that long on a congested link or in the queue of a server.
const START_SLACK_DIVISOR: u32 = 10;

/// Part of the grace period, as a divisor, for which a backend server may work on a request after
/// the period has expired. The rest of the time in which its version may answer covers the transit
/// of the request, since the server counts from its arrival.
const WORK_SLACK_DIVISOR: u32 = 7;

/// Target versions of each model's weights, and when each was set.
///
/// A request may start on an older version until the grace period of a newer target version has
/// expired. After that only backend servers that hold at least the target version get
/// requests: all of them should have it by then, and one that was left behind must not answer.
/// The grace period of a version starts when that version is set; setting further versions does
/// not extend it.
#[derive(Clone, Debug)]
pub struct TargetVersions {
    grace: time::Duration,
    targets: indexmap::IndexMap<lift_fleet::ModelName, lift_fleet::NamingTimes>,
    /// Stands in for the time of a version that was set at an unknown time.
    long_ago: Option<time::Instant>,
}

impl TargetVersions {
    /// Creates an empty set. Older versions stay allowed for `grace`.
    pub fn new(grace: time::Duration) -> Self {
        Self {
            grace,
            targets: indexmap::IndexMap::new(),
            long_ago: None,
        }
    }

    /// Records that `version` was not set before `not_before`. If no such time is known, the grace
    /// period counts as expired until another call tells one; a later one replaces an earlier one.
    /// An older version counts too, whenever it is learned: its grace period limits the use of still
    /// older ones.
    pub fn set_target(
        &mut self,
        now: time::Instant,
        model: &lift_fleet::ModelName,
        version: lift_fleet::WeightsVersion,
        not_before: Option<time::Instant>,
    ) {
        let long_ago = now.checked_sub(self.grace * 2).unwrap_or(now);
        self.long_ago = Some(self.long_ago.map_or(long_ago, |at| at.min(long_ago)));
        let times = self.targets.entry(model.clone()).or_default();
        times.learn(version, not_before);
    }

    /// Lowest version of `model` on which a request may start at `now`, 0 where any will do.
    pub fn min_version(&self, now: time::Instant, model: &str) -> lift_fleet::WeightsVersion {
        let Some(targets) = self.targets.get(model) else {
            return 0;
        };
        let is_expired = |named: &&lift_fleet::Naming| {
            let age = named.not_before.map(|at| now.saturating_duration_since(at));
            age.is_none_or(|age| age > self.grace)
        };
        let expired = targets.iter().rfind(is_expired);
        expired.map_or(0, |named| named.version)
    }

    /// Lowest version of `model` on which a request may start at `now` that takes `duration`. A
    /// version that would have to stop working on it before its end is not offered, so that few
    /// answers break off.
    pub fn min_version_to_finish(
        &self,
        now: time::Instant,
        model: &str,
        duration: time::Duration,
    ) -> lift_fleet::WeightsVersion {
        let after_grace = self.grace / WORK_SLACK_DIVISOR;
        let ahead = duration.saturating_sub(after_grace).min(self.slow_margin());
        self.min_version(now + ahead, model)
    }

    /// Lowest version for a backend server that may start a request late, because its host or
    /// link may be congested or down. It is required before the grace period ends, since the
    /// request may arrive after its end.
    pub fn min_version_if_slow(
        &self,
        now: time::Instant,
        model: &str,
    ) -> lift_fleet::WeightsVersion {
        self.min_version(now + self.slow_margin(), model)
    }

    /// Newest target version of `model`, 0 where none was set.
    pub fn newest(&self, model: &str) -> lift_fleet::WeightsVersion {
        let targets = self.targets.get(model);
        let newest = targets.and_then(lift_fleet::NamingTimes::newest);
        newest.map_or(0, |named| named.version)
    }

    /// Time from `now` until a backend server that holds `version` gets no more requests.
    /// `None` if no newer target version was set.
    pub fn time_left(
        &self,
        now: time::Instant,
        model: &str,
        version: lift_fleet::WeightsVersion,
    ) -> Option<time::Duration> {
        let expires_at = self.expires_at(model, version)?;
        Some(expires_at.saturating_duration_since(now))
    }

    /// Time until which a request at a backend server that holds `version` must have started.
    /// Then it is to be cancelled, since the version may no longer answer when it starts. `None`
    /// if no newer target version was set.
    pub fn start_deadline(
        &self,
        model: &str,
        version: lift_fleet::WeightsVersion,
    ) -> Option<time::Instant> {
        let expires_at = self.expires_at(model, version)?;
        Some(expires_at + self.grace / START_SLACK_DIVISOR)
    }

    /// Time until which a backend server that holds `version` may work on a request that is sent at
    /// `now`. The server is told, because a cancellation does not reach one that has paused or that
    /// goes on after its connection is closed. `None` if no newer target version was set, or if so
    /// much time is left that even a slow server starts early enough; a long answer is not cut off
    /// then.
    pub fn work_deadline(
        &self,
        now: time::Instant,
        model: &str,
        version: lift_fleet::WeightsVersion,
    ) -> Option<time::Instant> {
        let expires_at = self.expires_at(model, version)?;
        let is_close = now + self.slow_margin() > expires_at;
        is_close.then(|| expires_at + self.grace / WORK_SLACK_DIVISOR)
    }

    /// Time before the end of the grace period in which a slow server may start a request too late.
    fn slow_margin(&self) -> time::Duration {
        self.grace * (100 - SLOW_GRACE_PERCENT) / 100
    }

    /// Time at `now` since the target version was set that replaces `version`, or more. `None` if no
    /// newer target version was set.
    pub fn superseded_for(
        &self,
        now: time::Instant,
        model: &str,
        version: lift_fleet::WeightsVersion,
    ) -> Option<time::Duration> {
        let at = self.superseded_at(model, version)?;
        Some(now.saturating_duration_since(at))
    }

    /// When the grace period ends in which `version` may still be used.
    fn expires_at(
        &self,
        model: &str,
        version: lift_fleet::WeightsVersion,
    ) -> Option<time::Instant> {
        Some(self.superseded_at(model, version)? + self.grace)
    }

    /// When the first target version was set that is newer than `version`, or a time long ago.
    fn superseded_at(
        &self,
        model: &str,
        version: lift_fleet::WeightsVersion,
    ) -> Option<time::Instant> {
        let targets = self.targets.get(model)?;
        let superseding = targets.superseding(version)?;
        superseding.not_before.or(self.long_ago)
    }
}
