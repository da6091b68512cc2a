//! What an agent does with a version that is on its way when a newer one is named.

use std::{sync, time};

use sync::atomic;

use crate::{shared, staged};

/// Time between the two groups of agents that load an older version before a newer one.
const FINISH_INTERVAL: time::Duration = time::Duration::from_millis(1_900);

/// The last decision, and what came of it.
#[derive(Debug, Default)]
pub(crate) struct ChoiceState {
    /// Older and newer version, and which of them was to be read.
    decided: Option<(
        lift_fleet::WeightsVersion,
        lift_fleet::WeightsVersion,
        lift_transfer::VersionDecision,
    )>,
    /// Version that waits for its turn to be loaded before a newer one, and the end of that time.
    turn: Option<(lift_fleet::WeightsVersion, time::Instant)>,
    /// Older and newer version, and when the older one must be complete.
    finish_by: Option<(
        lift_fleet::WeightsVersion,
        lift_fleet::WeightsVersion,
        time::Instant,
    )>,
    /// Newest version when an older one was loaded before it.
    finished_before: Option<lift_fleet::WeightsVersion>,
}

impl shared::Shared {
    /// Whether no newer version is named.
    pub(crate) fn is_newest(&self, staged: &staged::Staged) -> bool {
        self.named(&staged.manifest.model) <= staged.manifest.version
    }

    /// Whether the version is dropped for a newer one.
    pub(crate) fn is_superseded(&self, staged: &staged::Staged) -> bool {
        if self.is_newest(staged) {
            return false;
        }
        let newer = self.named(&staged.manifest.model);
        let version = staged.manifest.version;
        let choice = self.version_choice(staged, newer);
        let mut choice_state = self.choice_state.lock();
        // A version that was dropped is not fetched again: pieces of the newer one may have
        // replaced its own.
        if let Some((v, n, decision)) = choice_state.decided
            && (v, n) == (version, newer)
            && !decision.is_older()
        {
            return true;
        }
        let decision = choice.decide();
        let decided = Some((version, newer, decision));
        let now = lift_clock::now();
        let is_same =
            matches!(choice_state.finish_by, Some((v, n, _)) if (v, n) == (version, newer));
        // Nothing is lost by waiting while the origin does not answer.
        if decision.is_older() && (!is_same || !choice.origin_answers) {
            let finish_by = now + choice.max_finish_time();
            choice_state.finish_by = Some((version, newer, finish_by));
        }
        // The reason may change at each look while the older version is read on.
        let is_same_version = matches!(choice_state.decided,
            Some((v, n, d)) if (v, n) == (version, newer) && d.is_older() == decision.is_older());
        choice_state.decided = decided;
        if !is_same_version {
            let counter = match decision.is_older() {
                true => "agent.older_finished_first",
                false => "agent.older_dropped",
            };
            self.counters.increment(counter);
            slog::info!(self.log, "version chosen"; "older" => version, "newer" => newer,
                "read" => if decision.is_older() { version } else { newer },
                "reason" => ?decision, "missing" => choice.missing,
                "unseen" => choice.without_holder,
                "origin_answers" => choice.origin_answers,
                "piece_ms" => choice.link_piece_time.as_millis() as u64,
                "time_left_ms" => choice.time_left.as_millis() as u64);
        }
        !decision.is_older()
    }

    /// The older version that is to be finished before the newest one, if any.
    pub(crate) fn older_to_finish(
        &self,
        model: &str,
        held: lift_fleet::WeightsVersion,
    ) -> Option<lift_fleet::WeightsVersion> {
        let staged = self.staged.borrow().clone()?;
        let version = staged.manifest.version;
        let is_on_its_way = staged.manifest.model == model && version > held;
        let is_older = is_on_its_way && !self.is_newest(&staged);
        (is_older && !self.is_superseded(&staged)).then_some(version)
    }

    /// Time for which this agent delays the load of an older version. There are two groups, so that
    /// half of the servers of a region serve and the newer version is delayed little.
    fn older_load_delay(&self) -> time::Duration {
        let load = lift_transfer::StaggeredLoad {
            position: self.position() % 2,
            time_left: FINISH_INTERVAL,
        };
        load.delay()
    }

    /// Begins to wait for the turn to load an older version, and returns how long that takes.
    pub(crate) fn start_load_delay(&self, staged: &staged::Staged) -> time::Duration {
        let turn = self.older_load_delay();
        let ends_at = lift_clock::now() + turn;
        self.choice_state.lock().turn = Some((staged.manifest.version, ends_at));
        turn
    }

    fn turn_left(&self, version: lift_fleet::WeightsVersion, now: time::Instant) -> time::Duration {
        let turn = self.choice_state.lock().turn;
        match turn {
            Some((v, ends_at)) if v == version => ends_at.saturating_duration_since(now),
            _ => self.older_load_delay(),
        }
    }

    /// Records that a version was ordered to be loaded.
    pub(crate) fn record_older_load(&self, staged: &staged::Staged) {
        if !self.is_newest(staged) {
            let newer = self.named(&staged.manifest.model);
            self.choice_state.lock().finished_before = Some(newer);
        }
    }

    fn is_overdue(
        &self,
        version: lift_fleet::WeightsVersion,
        newer: lift_fleet::WeightsVersion,
        now: time::Instant,
    ) -> bool {
        let finish_by = self.choice_state.lock().finish_by;
        finish_by.is_some_and(|(v, n, by)| (v, n) == (version, newer) && now > by)
    }

    fn version_choice(
        &self,
        staged: &staged::Staged,
        newer: lift_fleet::WeightsVersion,
    ) -> lift_transfer::VersionChoice {
        let manifest = &staged.manifest;
        let now = lift_clock::now();
        let pieces = manifest.count();
        let held = u32::try_from(staged.all().len()).unwrap_or(u32::MAX);
        let missing = pieces.saturating_sub(held);
        let time_left = {
            let named = self.named.borrow();
            named.time_left(now, &manifest.model, manifest.version)
        };
        let origin_piece_time = self
            .origin_endpoint()
            .map_or(time::Duration::ZERO, |origin| {
                let rate = origin.bytes_per_s.max(1) as f64;
                time::Duration::from_secs_f64(f64::from(manifest.piece_bytes) / rate)
            });
        lift_transfer::VersionChoice {
            missing,
            without_holder: staged
                .without_holder
                .load(atomic::Ordering::Relaxed)
                .min(missing),
            pieces,
            origin_answers: self.origin_monitor.answers(),
            is_overdue: self.is_overdue(manifest.version, newer, now),
            is_dropped: staged.is_dropped.load(atomic::Ordering::Relaxed),
            origin_piece_time,
            link_piece_time: staged.piece_time().unwrap_or(origin_piece_time),
            turn: self.turn_left(manifest.version, now),
            time_left: time_left.unwrap_or_default(),
            has_finished: self.choice_state.lock().finished_before == Some(newer),
        }
    }
}
