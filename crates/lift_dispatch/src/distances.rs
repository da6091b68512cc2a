//! Distances of backend servers.

use std::time;

use crate::{backend, locality_costs};

/// What it costs a gateway to send requests of one service to each failure domain, as a wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Distances {
    own: lift_types::Location,
    costs: locality_costs::LocalityCosts,
    /// Delays to the failure domains for which they are known.
    delays: indexmap::IndexMap<lift_types::FailureDomainId, time::Duration>,
}

impl Distances {
    /// Creates the distances of a gateway at `own`. `delays` are those between all failure domains.
    pub fn new(
        own: &lift_types::Location,
        costs: locality_costs::LocalityCosts,
        delays: &[lift_fleet::DomainDelay],
    ) -> Self {
        let to = |delay: &lift_fleet::DomainDelay| {
            let other = match (&delay.from, &delay.to) {
                (from, to) if *from == own.failure_domain => to,
                (from, to) if *to == own.failure_domain => from,
                _ => return None,
            };
            Some((other.clone(), delay.delay))
        };
        Self {
            own: own.clone(),
            costs,
            delays: delays.iter().filter_map(to).collect(),
        }
    }

    /// Cost of a request to a backend server: the round trip and the cost of its locality. A server
    /// whose region is unknown counts as one of the own region.
    pub fn cost(&self, backend: &backend::Backend) -> time::Duration {
        if backend.failure_domain == self.own.failure_domain {
            return time::Duration::ZERO;
        }
        let delay = self.delays.get(&backend.failure_domain);
        let round_trip = delay.copied().unwrap_or_default().saturating_mul(2);
        let region = backend.region.as_deref();
        let cost = match region.is_some_and(|region| region != self.own.region) {
            true => self.costs.region,
            false => self.costs.domain,
        };
        round_trip.saturating_add(cost)
    }
}
