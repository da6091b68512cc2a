//! Switching one host to a version.

use std::time;

use crate::{activation_action, activation_config, activation_event, activation_state};

use activation_action::ActivationAction as Action;
use activation_event::ActivationEvent as Event;
use activation_state::{Loaded, Step, Trust, loaded};

/// Decides when the engine gets an order and which version the host advertises.
///
/// A version is advertised only while the host holds it whole and the engine has confirmed
/// the hash of the whole. The order of steps is: whole, grant, close and drain, load,
/// confirm, advertise. No order is sent without a lease and a grant that outlast it. A
/// change of the wanted version stops the switch before the next step.
#[derive(Clone, Debug)]
pub struct Activation {
    cfg: activation_config::ActivationConfig,
    wanted: Option<lift_types::VersionId>,
    revision: lift_types::Revision,
    pub(crate) whole: indexmap::IndexMap<lift_types::VersionId, lift_types::ChunkHash>,
    lease_until: Option<time::Instant>,
    pub(crate) serving: Option<lift_types::ServingVersion>,
    pub(crate) engine: Option<Loaded>,
    trust: Trust,
    pub(crate) step: Step,
}

impl Activation {
    /// Starts with nothing known and nothing advertised.
    pub fn new(cfg: activation_config::ActivationConfig) -> Self {
        Self {
            cfg,
            wanted: None,
            revision: 0,
            whole: indexmap::IndexMap::new(),
            lease_until: None,
            serving: None,
            engine: None,
            trust: Trust::Reports,
            step: Step::Starting,
        }
    }

    /// Takes an event at time `now` and returns what to do.
    pub fn step(&mut self, now: time::Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.step == Step::Stopped {
            return actions;
        }
        self.apply(now, event, &mut actions);
        self.proceed(now, &mut actions);
        actions
    }

    /// Version that is advertised.
    pub fn serving(&self) -> Option<&lift_types::ServingVersion> {
        self.serving.as_ref()
    }

    /// Whether the version is held whole.
    pub fn holds(&self, version: &lift_types::VersionId) -> bool {
        self.whole.contains_key(version)
    }

    /// Whether a load order is in progress.
    pub fn is_loading(&self) -> bool {
        matches!(self.step, Step::Loading { .. })
    }

    fn apply(&mut self, now: time::Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Wanted { version, revision } => {
                self.wanted = version;
                self.revision = revision;
            }
            Event::Whole { version, hash } => {
                self.whole.insert(version, hash);
            }
            Event::Removed { version } => self.remove(&version, actions),
            Event::Lease { until } => self.lease_until = Some(until),
            Event::Replaced => {
                self.withdraw(actions);
                self.step = Step::Stopped;
            }
            Event::Granted { fencing, until } => self.granted(fencing, until, actions),
            Event::NotGranted { retry_after } => self.not_granted(now, retry_after),
            Event::Drained { in_progress } => self.drained(now, in_progress, actions),
            Event::Loaded {
                version,
                hash,
                fencing,
            } => self.loaded(now, version, hash, fencing, actions),
            Event::LoadFailed => self.load_failed(now),
            Event::Reported {
                version,
                hash,
                fencing,
            } => self.reported(loaded(version, hash, fencing), actions),
            Event::EngineLost => self.reported(None, actions),
            Event::Clock => {}
        }
    }

    /// Takes the next step that the state allows without a further event.
    fn proceed(&mut self, now: time::Instant, actions: &mut Vec<Action>) {
        if let Step::Waiting { until } = self.step
            && until <= now
        {
            self.step = Step::Idle;
        }
        let is_resting = matches!(self.step, Step::Idle | Step::Waiting { .. });
        if is_resting && self.serving.is_none() {
            self.resume(now, actions);
        }
        if self.step == Step::Idle {
            self.ask(now, actions);
        }
    }

    /// Advertises what the engine serves already, after a restart of the agent or a failed
    /// drain.
    fn resume(&mut self, now: time::Instant, actions: &mut Vec<Action>) {
        let Some(engine) = &self.engine else {
            return;
        };
        if self.trust == Trust::LoadsOnly {
            return;
        }
        if self.whole.get(&engine.version) != Some(&engine.hash) || !self.has_lease(now) {
            return;
        }
        let serving = lift_types::ServingVersion {
            version: engine.version.clone(),
            fencing: engine.fencing,
        };
        self.serving = Some(serving.clone());
        actions.push(Action::Advertise(serving));
    }

    fn ask(&mut self, now: time::Instant, actions: &mut Vec<Action>) {
        let Some(version) = self.wanted.clone() else {
            return;
        };
        let serves = self.serving.as_ref().is_some_and(|s| s.version == version);
        if serves || !self.whole.contains_key(&version) || !self.lease_covers_order(now) {
            return;
        }
        actions.push(Action::RequestGrant {
            version: version.clone(),
            revision: self.revision,
            serving: self.serving.clone(),
        });
        self.step = Step::Asking { version };
    }

    fn granted(
        &mut self,
        fencing: lift_types::FencingToken,
        until: time::Instant,
        actions: &mut Vec<Action>,
    ) {
        let Step::Asking { version } = &self.step else {
            return;
        };
        if self.wanted.as_ref() != Some(version) {
            self.step = Step::Idle;
            return;
        }
        self.step = Step::Draining {
            version: version.clone(),
            fencing,
            until,
        };
        // The engine still serves the old version, but nothing may be advertised from here
        // on, as the order changes it.
        self.serving = None;
        actions.push(Action::CloseAndDrain);
    }

    fn not_granted(&mut self, now: time::Instant, retry_after: time::Duration) {
        if matches!(self.step, Step::Asking { .. }) {
            let until = now + retry_after;
            self.step = Step::Waiting { until };
        }
    }

    fn drained(&mut self, now: time::Instant, in_progress: usize, actions: &mut Vec<Action>) {
        let Step::Draining {
            version,
            fencing,
            until,
        } = self.step.clone()
        else {
            return;
        };
        let is_wanted = self.wanted.as_ref() == Some(&version);
        let is_covered = until > now + self.cfg.order_limit && self.lease_covers_order(now);
        let hash = self.whole.get(&version).copied();
        match hash {
            Some(hash) if in_progress == 0 && is_wanted && is_covered => {
                self.engine = None;
                actions.push(Action::Load {
                    version: version.clone(),
                    hash,
                    fencing,
                });
                self.step = Step::Loading { version, fencing };
            }
            _ => {
                let until = now + self.cfg.retry_after;
                self.step = Step::Waiting { until };
            }
        }
    }

    fn loaded(
        &mut self,
        now: time::Instant,
        version: Option<lift_types::VersionId>,
        hash: Option<lift_types::ChunkHash>,
        fencing: lift_types::FencingToken,
        actions: &mut Vec<Action>,
    ) {
        let engine = loaded(version, hash, fencing);
        let Step::Loading {
            version: ordered,
            fencing: token,
        } = self.step.clone()
        else {
            self.reported(engine, actions);
            return;
        };
        let is_confirmed = engine.as_ref().is_some_and(|e| {
            e.version == ordered && e.fencing == token && self.whole.get(&ordered) == Some(&e.hash)
        });
        if !is_confirmed {
            self.load_failed(now);
            return;
        }
        self.step = Step::Idle;
        self.trust = Trust::Reports;
        if self.wanted.as_ref() != Some(&ordered) {
            return;
        }
        self.engine = engine;
        let serving = lift_types::ServingVersion {
            version: ordered,
            fencing: token,
        };
        self.serving = Some(serving.clone());
        actions.push(Action::Advertise(serving));
    }

    fn load_failed(&mut self, now: time::Instant) {
        if self.is_loading() {
            self.trust = Trust::LoadsOnly;
            let until = now + self.cfg.retry_after;
            self.step = Step::Waiting { until };
        }
    }

    fn remove(&mut self, version: &lift_types::VersionId, actions: &mut Vec<Action>) {
        self.whole.shift_remove(version);
        if self.serving.as_ref().is_some_and(|s| s.version == *version) {
            self.withdraw(actions);
        }
    }

    pub(crate) fn withdraw(&mut self, actions: &mut Vec<Action>) {
        self.engine = None;
        if self.serving.take().is_some() {
            actions.push(Action::Withdraw);
        }
    }

    fn has_lease(&self, now: time::Instant) -> bool {
        self.lease_until.is_some_and(|until| until > now)
    }

    fn lease_covers_order(&self, now: time::Instant) -> bool {
        self.has_lease(now + self.cfg.order_limit)
    }
}
