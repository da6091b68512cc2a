//! Joins the two halves of an agent, which start one after the other.

use std::{sync, time};

use lift_border::ServingControl as _;

/// The request side of an agent, once it runs. The weights side starts first, because it
/// registers the agent and the request side needs the incarnation; what it opens before that
/// is passed on when the request side is set.
#[derive(Debug, Default)]
pub(crate) struct ServingSlot {
    state: parking_lot::Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    serve: Option<sync::Arc<lift_serve::RequestServer>>,
    opened: Option<lift_types::ServingVersion>,
}

impl ServingSlot {
    /// Sets the request side.
    pub(crate) fn set(&self, serve: sync::Arc<lift_serve::RequestServer>) {
        let mut state = self.state.lock();
        if let Some(version) = state.opened.take() {
            serve.open(version);
        }
        state.serve = Some(serve);
    }
}

#[async_trait::async_trait]
impl lift_border::ServingControl for ServingSlot {
    async fn close_and_drain(&self, limit: time::Duration) -> usize {
        let serve = {
            let mut state = self.state.lock();
            state.opened = None;
            state.serve.clone()
        };
        match serve {
            Some(serve) => serve.close_and_drain(limit).await,
            None => 0,
        }
    }

    fn open(&self, version: lift_types::ServingVersion) {
        let mut state = self.state.lock();
        match &state.serve {
            Some(serve) => serve.open(version),
            None => state.opened = Some(version),
        }
    }

    fn serving(&self) -> Option<lift_types::ServingVersion> {
        let state = self.state.lock();
        match &state.serve {
            Some(serve) => serve.serving(),
            None => state.opened.clone(),
        }
    }
}
