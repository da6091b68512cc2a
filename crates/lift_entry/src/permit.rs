//! Permit of an admitted request.

use std::sync;

use crate::admission;

/// Right to be in progress. Dropping it admits the next request.
#[derive(Debug)]
pub(crate) struct Permit {
    admission: Option<sync::Arc<admission::Admission>>,
}

impl Permit {
    pub(crate) fn new(admission: sync::Arc<admission::Admission>) -> Self {
        Self {
            admission: Some(admission),
        }
    }

    /// Ends the permit without admitting another request.
    pub(crate) fn disarm(mut self) {
        self.admission = None;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(admission) = self.admission.take() {
            admission.release();
        }
    }
}
