//! Cost of a cold backend server.

use crate::{backend_score, cold_state, selection_error};

/// Cost of a cold backend server, as a share of its slots. Its first answers are late, but it
/// must get requests to relieve the others. Below the fixed cost of another region,
/// so that a cold local server is preferred to a remote one where no locality costs are configured.
const COLD_PENALTY: f64 = 0.2;

impl backend_score::BackendScore {
    /// The score if the backend server is in `state`.
    pub fn with_cold(self, state: cold_state::ColdState) -> Self {
        let cost = match (state, self.cost) {
            (cold_state::ColdState::Cold, Ok((is_avoided, cost))) => {
                Ok((is_avoided, cost + COLD_PENALTY))
            }
            (cold_state::ColdState::Full, Ok(_)) => Err(selection_error::SelectionError::Cold),
            (_, cost) => cost,
        };
        Self { cost, ..self }
    }
}
