//! Ranks of the requests of each service.

use std::time;

use crate::{rank_place, request_rank};

/// Ranks that the requests of each service may have by the configuration, the most urgent first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceRanks {
    /// Ranks with the shortest target latency of each, for services with more than one.
    services: indexmap::IndexMap<lift_types::ServiceId, RankTargets>,
}

type RankTargets = indexmap::IndexMap<request_rank::RequestRank, time::Duration>;

impl ServiceRanks {
    /// Collects the ranks from the routes and workspaces of `table`.
    pub fn new(table: &lift_fleet::RoutingTable) -> Self {
        let known: indexmap::IndexSet<_> = table.workspace_priorities().collect();
        let mut services = indexmap::IndexMap::<_, RankTargets>::new();
        for route in table.routes() {
            // Callers without a key have no workspace and so no priority of one.
            let is_open = route.is_auth_exempt || !table.is_key_required();
            let keyless = is_open.then_some(&None);
            let workspaces = known.iter().filter(|_| table.is_key_required());
            let workspaces: Vec<_> = workspaces.chain(keyless).collect();
            for split in route.splits.iter().filter(|split| split.weight > 0) {
                let ranks = services.entry(split.service.clone()).or_default();
                for workspace in &workspaces {
                    let rank = request_rank::RequestRank::new(route.priority, **workspace);
                    let target = ranks.entry(rank).or_insert(route.target_latency);
                    *target = route.target_latency.min(*target);
                }
            }
        }
        services.retain(|_, ranks| ranks.len() > 1);
        services.values_mut().for_each(accumulate);
        Self { services }
    }

    /// Place of `rank` among the ranks of `service`. `None` if all of its requests have the same.
    pub fn place(
        &self,
        service: &str,
        rank: request_rank::RequestRank,
    ) -> Option<rank_place::RankPlace> {
        let ranks = self.services.get(service)?;
        let position = ranks.keys().filter(|other| **other < rank).count();
        let position = position.min(ranks.len() - 1);
        Some(rank_place::RankPlace {
            position,
            count: ranks.len(),
            shortest_target: *ranks.get_index(position)?.1,
        })
    }
}

/// Sorts the ranks, and replaces the target of each by the shortest of it and the more urgent ones.
fn accumulate(ranks: &mut RankTargets) {
    ranks.sort_keys();
    let mut shortest = time::Duration::MAX;
    for target in ranks.values_mut() {
        shortest = shortest.min(*target);
        *target = shortest;
    }
}
