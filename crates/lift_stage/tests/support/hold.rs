//! A point at which one step waits for the test.

use std::sync;

use tokio::sync::watch;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Open,
    Armed,
    Reached,
}

/// Stops the next step that passes until the test lets it go on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Hold {
    state: sync::Arc<watch::Sender<State>>,
}

impl Hold {
    /// Stops the next step that passes.
    pub(crate) fn arm(&self) {
        self.state.send_replace(State::Armed);
    }

    /// Whether a step waits.
    pub(crate) fn is_reached(&self) -> bool {
        *self.state.borrow() == State::Reached
    }

    /// Lets a step that waits go on, and stops no more.
    pub(crate) fn release(&self) {
        self.state.send_replace(State::Open);
    }

    /// Waits here if it is the step to stop.
    pub(crate) async fn pass(&self) {
        let is_stopped = self.state.send_if_modified(|state| {
            let is_armed = *state == State::Armed;
            if is_armed {
                *state = State::Reached;
            }
            is_armed
        });
        if is_stopped {
            let mut state = self.state.subscribe();
            let _ = state.wait_for(|state| *state == State::Open).await;
        }
    }
}
