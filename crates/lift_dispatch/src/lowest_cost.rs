//! The best backend server found so far.

use std::sync;

use crate::{backend, backend_selector};

/// The backend server with the lowest cost so far.
#[derive(Default)]
pub(crate) struct LowestCost<'a>(Option<(backend_selector::Cost, &'a sync::Arc<backend::Backend>)>);

impl<'a> LowestCost<'a> {
    /// Takes `backend` if it costs less than the ones before.
    pub(crate) fn update(
        &mut self,
        cost: backend_selector::Cost,
        backend: &'a sync::Arc<backend::Backend>,
    ) {
        if self.0.is_none_or(|(lowest, _)| cost < lowest) {
            self.0 = Some((cost, backend));
        }
    }

    /// The backend server, if there was any.
    pub(crate) fn backend(&self) -> Option<&'a sync::Arc<backend::Backend>> {
        self.0.map(|(_, backend)| backend)
    }
}
