//! What one node knew over time.

use std::{sync, time};

/// One step of a node's view.
#[derive(Clone, Copy, Debug)]
struct Step {
    at: time::Instant,
    revision: lift_types::Revision,
    confirmed_at: Option<time::Instant>,
}

/// How a change came into force at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InForce {
    /// The node had the revision.
    Applied(time::Duration),
    /// The node had stopped to take work, because its revision was not confirmed.
    Stopped(time::Duration),
    /// Neither, until the end of the run.
    Never,
}

/// Steps of a node's view in the order of time.
#[derive(Debug, Default)]
pub(crate) struct ConfigTimeline {
    steps: parking_lot::Mutex<Vec<Step>>,
}

impl ConfigTimeline {
    /// Follows a node until it is dropped.
    pub(crate) async fn follow(
        self: sync::Arc<Self>,
        mut views: tokio::sync::watch::Receiver<lift_types::PolicyView>,
    ) {
        while views.changed().await.is_ok() {
            let at = time::Instant::now();
            let view = views.borrow_and_update().clone();
            self.steps.lock().push(Step {
                at,
                revision: view.policy.revision,
                confirmed_at: view.confirmed_at,
            });
        }
    }

    /// Times that the node went to a lower revision.
    pub(crate) fn reverts(&self) -> u64 {
        let steps = self.steps.lock();
        let lower = |pair: &&[Step]| pair[1].revision < pair[0].revision;
        steps.windows(2).filter(lower).count() as u64
    }

    /// When a revision that was accepted at `accepted` came into force.
    pub(crate) fn in_force(
        &self,
        revision: lift_types::Revision,
        accepted: time::Instant,
    ) -> InForce {
        let steps = self.steps.lock();
        // The node acts on the step before `accepted` until the next one.
        let first = steps.partition_point(|step| step.at <= accepted);
        let applied = steps[first.saturating_sub(1)..]
            .iter()
            .find(|step| step.revision >= revision)
            .map(|step| step.at.saturating_duration_since(accepted));
        let stopped = stopped_at(&steps[first.saturating_sub(1)..], accepted)
            .map(|at| at.saturating_duration_since(accepted));
        match (applied, stopped) {
            (Some(applied), Some(stopped)) if stopped < applied => InForce::Stopped(stopped),
            (Some(applied), _) => InForce::Applied(applied),
            (None, Some(stopped)) => InForce::Stopped(stopped),
            (None, None) => InForce::Never,
        }
    }
}

/// First time from `from` on at which the node was not confirmed.
fn stopped_at(steps: &[Step], from: time::Instant) -> Option<time::Instant> {
    for (at, step) in steps.iter().enumerate() {
        let Some(confirmed_at) = step.confirmed_at else {
            return Some(step.at.max(from));
        };
        let ends = confirmed_at + lift_types::PolicyView::CONFIRM_TIMEOUT;
        let ends = ends.max(step.at).max(from);
        let next = steps.get(at + 1).map(|next| next.at);
        if next.is_none_or(|next| ends < next) {
            // After the last step the end is only certain if it has passed.
            return (next.is_some() || ends < time::Instant::now()).then_some(ends);
        }
    }
    None
}
