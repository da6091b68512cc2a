//! Handling of reports from the engine.

use crate::{activation, activation_action, activation_state};

use activation_action::ActivationAction as Action;
use activation_state::{ActivationState as State, LoadedVersion};

impl activation::Activation {
    /// Stores the version that the engine reports, `None` if it reports none or can't be reached,
    /// and withdraws the advertised version if the report contradicts it.
    pub(crate) fn on_reported(&mut self, engine: Option<LoadedVersion>, actions: &mut Vec<Action>) {
        // The report may describe the state before the order in progress, which says nothing about
        // the state after it.
        if self.is_loading() {
            return;
        }
        if self.state == State::Starting {
            self.state = State::Idle;
        }
        let matches = match (&engine, &self.serving) {
            (Some(engine), Some(serving)) => {
                engine.version == serving.version
                    && self.complete.get(&engine.version) == Some(&engine.hash)
            }
            (None, Some(_)) => false,
            (_, None) => true,
        };
        if !matches {
            self.withdraw(actions);
        }
        self.engine = engine;
    }
}
