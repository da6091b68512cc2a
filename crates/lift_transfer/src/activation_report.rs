//! What an activation makes of a report of the engine.

use crate::{activation, activation_action, activation_state};

use activation_action::ActivationAction as Action;
use activation_state::{Loaded, Step};

impl activation::Activation {
    /// Compares what the engine reports with what is advertised.
    pub(crate) fn reported(&mut self, engine: Option<Loaded>, actions: &mut Vec<Action>) {
        // The state before an order says nothing about the state after it.
        if self.is_loading() {
            return;
        }
        if self.step == Step::Starting {
            self.step = Step::Idle;
        }
        let matches = match (&engine, &self.serving) {
            (Some(engine), Some(serving)) => {
                engine.version == serving.version
                    && self.whole.get(&engine.version) == Some(&engine.hash)
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
