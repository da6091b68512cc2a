//! State machine that switches one host to another version.

use std::time;

use crate::{activation_action, activation_config, activation_event, activation_state};

use activation_action::ActivationAction as Action;
use activation_event::ActivationEvent as Event;
use activation_state::{
    ActivationState as State, LoadedVersion, RequiredConfirmation, loaded_version,
};

/// Decides when the engine gets a load order and which version the host advertises.
///
/// A version is advertised only while the host holds all of it and the engine has confirmed
/// the hash of the complete weights. A switch goes through these steps: fetch and verify the
/// version, get a grant, refuse new requests and drain, load, confirm, advertise. No order is
/// sent without a lease and a grant that outlast it. A change of the target version stops
/// the switch before the next step.
#[derive(Clone, Debug)]
pub struct Activation {
    cfg: activation_config::ActivationConfig,
    target_version: Option<lift_types::VersionId>,
    revision: lift_types::Revision,
    pub(crate) complete: indexmap::IndexMap<lift_types::VersionId, lift_types::ChunkHash>,
    lease_until: Option<time::Instant>,
    pub(crate) serving: Option<lift_types::ServingVersion>,
    pub(crate) engine: Option<LoadedVersion>,
    required_confirmation: RequiredConfirmation,
    pub(crate) state: State,
}

impl Activation {
    /// Returns an activation that knows no version and advertises nothing.
    pub fn new(cfg: activation_config::ActivationConfig) -> Self {
        Self {
            cfg,
            target_version: None,
            revision: 0,
            complete: indexmap::IndexMap::new(),
            lease_until: None,
            serving: None,
            engine: None,
            required_confirmation: RequiredConfirmation::Report,
            state: State::Starting,
        }
    }

    /// Handles an event at time `now` and returns the actions to carry out. After
    /// [`Event::Replaced`] every event is ignored.
    pub fn step(&mut self, now: time::Instant, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.state == State::Stopped {
            return actions;
        }
        self.apply(now, event, &mut actions);
        self.advance(now, &mut actions);
        actions
    }

    /// Returns the version that the host advertises.
    pub fn serving(&self) -> Option<&lift_types::ServingVersion> {
        self.serving.as_ref()
    }

    /// Returns whether the host holds all of `version`, with a verified hash.
    pub fn has_complete(&self, version: &lift_types::VersionId) -> bool {
        self.complete.contains_key(version)
    }

    /// Returns whether a load order is in progress.
    pub fn is_loading(&self) -> bool {
        matches!(self.state, State::Loading { .. })
    }

    fn apply(&mut self, now: time::Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::TargetVersion { version, revision } => {
                self.target_version = version;
                self.revision = revision;
            }
            Event::Complete { version, hash } => {
                self.complete.insert(version, hash);
            }
            Event::Removed { version } => self.on_removed(&version, actions),
            Event::LeaseRenewed { until } => self.lease_until = Some(until),
            Event::Replaced => {
                self.withdraw(actions);
                self.state = State::Stopped;
            }
            Event::Granted { fencing, until } => self.on_granted(fencing, until, actions),
            Event::NotGranted { retry_after } => self.on_not_granted(now, retry_after),
            Event::Drained { in_progress } => self.on_drained(now, in_progress, actions),
            Event::Loaded {
                version,
                hash,
                fencing,
            } => self.on_loaded(now, version, hash, fencing, actions),
            Event::LoadFailed => self.on_load_failed(now),
            Event::Reported {
                version,
                hash,
                fencing,
            } => self.on_reported(loaded_version(version, hash, fencing), actions),
            Event::EngineUnreachable => self.on_reported(None, actions),
            Event::Tick => {}
        }
    }

    /// Performs the transitions that need no further event.
    fn advance(&mut self, now: time::Instant, actions: &mut Vec<Action>) {
        if let State::Backoff { until } = self.state
            && until <= now
        {
            self.state = State::Idle;
        }
        let is_inactive = matches!(self.state, State::Idle | State::Backoff { .. });
        if is_inactive && self.serving.is_none() {
            self.advertise_loaded(now, actions);
        }
        if self.state == State::Idle {
            self.request_grant(now, actions);
        }
    }

    /// Advertises the version that the engine already serves, after a restart of the agent or
    /// a failed drain.
    fn advertise_loaded(&mut self, now: time::Instant, actions: &mut Vec<Action>) {
        let Some(engine) = &self.engine else {
            return;
        };
        if self.required_confirmation == RequiredConfirmation::Load {
            return;
        }
        if self.complete.get(&engine.version) != Some(&engine.hash) || !self.has_lease(now) {
            return;
        }
        let serving = lift_types::ServingVersion {
            version: engine.version.clone(),
            fencing: engine.fencing,
        };
        self.serving = Some(serving.clone());
        actions.push(Action::Advertise(serving));
    }

    fn request_grant(&mut self, now: time::Instant, actions: &mut Vec<Action>) {
        let Some(version) = self.target_version.clone() else {
            return;
        };
        let serves = self.serving.as_ref().is_some_and(|s| s.version == version);
        if serves || !self.complete.contains_key(&version) || !self.lease_covers_order(now) {
            return;
        }
        actions.push(Action::RequestGrant {
            version: version.clone(),
            revision: self.revision,
            serving: self.serving.clone(),
        });
        self.state = State::RequestingGrant { version };
    }

    fn on_granted(
        &mut self,
        fencing: lift_types::FencingToken,
        until: time::Instant,
        actions: &mut Vec<Action>,
    ) {
        let State::RequestingGrant { version } = &self.state else {
            return;
        };
        if self.target_version.as_ref() != Some(version) {
            self.state = State::Idle;
            return;
        }
        self.state = State::Draining {
            version: version.clone(),
            fencing,
            until,
        };
        // The engine still serves the old version, but the order will replace it, so nothing
        // may be advertised from here on.
        self.serving = None;
        actions.push(Action::CloseAndDrain);
    }

    fn on_not_granted(&mut self, now: time::Instant, retry_after: time::Duration) {
        if matches!(self.state, State::RequestingGrant { .. }) {
            let until = now + retry_after;
            self.state = State::Backoff { until };
        }
    }

    fn on_drained(&mut self, now: time::Instant, in_progress: usize, actions: &mut Vec<Action>) {
        let State::Draining {
            version,
            fencing,
            until,
        } = self.state.clone()
        else {
            return;
        };
        let is_target = self.target_version.as_ref() == Some(&version);
        let is_covered = until > now + self.cfg.order_limit && self.lease_covers_order(now);
        let hash = self.complete.get(&version).copied();
        match hash {
            Some(hash) if in_progress == 0 && is_target && is_covered => {
                self.engine = None;
                actions.push(Action::Load {
                    version: version.clone(),
                    hash,
                    fencing,
                });
                self.state = State::Loading { version, fencing };
            }
            _ => {
                let until = now + self.cfg.retry_after;
                self.state = State::Backoff { until };
            }
        }
    }

    fn on_loaded(
        &mut self,
        now: time::Instant,
        version: Option<lift_types::VersionId>,
        hash: Option<lift_types::ChunkHash>,
        fencing: lift_types::FencingToken,
        actions: &mut Vec<Action>,
    ) {
        let engine = loaded_version(version, hash, fencing);
        let State::Loading {
            version: ordered,
            fencing: token,
        } = self.state.clone()
        else {
            self.on_reported(engine, actions);
            return;
        };
        let is_confirmed = engine.as_ref().is_some_and(|e| {
            e.version == ordered
                && e.fencing == token
                && self.complete.get(&ordered) == Some(&e.hash)
        });
        if !is_confirmed {
            self.on_load_failed(now);
            return;
        }
        self.state = State::Idle;
        self.required_confirmation = RequiredConfirmation::Report;
        if self.target_version.as_ref() != Some(&ordered) {
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

    fn on_load_failed(&mut self, now: time::Instant) {
        if self.is_loading() {
            self.required_confirmation = RequiredConfirmation::Load;
            let until = now + self.cfg.retry_after;
            self.state = State::Backoff { until };
        }
    }

    fn on_removed(&mut self, version: &lift_types::VersionId, actions: &mut Vec<Action>) {
        self.complete.shift_remove(version);
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
