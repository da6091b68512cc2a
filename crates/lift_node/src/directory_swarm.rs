//! Swarm views from an entry's directory.

use std::sync;

/// Versions whose assignment is kept. During a rollback two are wanted at a time.
const KEPT_TABLES: usize = 4;

/// Answers agents from the live agents that the entry knows. The assignment of key groups is
/// computed once per set of agents, not for each request.
#[derive(Debug)]
pub(crate) struct DirectorySwarm {
    entry: sync::Arc<lift_entry::Entry>,
    control: sync::Arc<dyn lift_rpc::ControlPort>,
    tables: lift_shard::Shards<indexmap::IndexMap<lift_types::VersionId, Table>>,
}

/// An assignment, and what it was made of.
#[derive(Clone, Debug)]
struct Table {
    peers: Vec<lift_transfer::SwarmPeer>,
    goal: lift_types::TransferGoal,
    homes: sync::Arc<lift_transfer::HomeTable>,
}

impl DirectorySwarm {
    /// Reads the directory of `entry` and the policy of `control`.
    pub(crate) fn new(
        entry: sync::Arc<lift_entry::Entry>,
        control: sync::Arc<dyn lift_rpc::ControlPort>,
    ) -> Self {
        Self {
            entry,
            control,
            tables: lift_shard::Shards::new(1, |_| indexmap::IndexMap::new()),
        }
    }

    /// Agents that want `version`. One that an exception holds at another version does not
    /// fetch this one, so it must not be the home of any of its chunks.
    fn peers(
        &self,
        policy: &lift_types::Policy,
        version: &lift_types::VersionId,
    ) -> Vec<lift_transfer::SwarmPeer> {
        let mut peers = self.entry.swarm_peers();
        peers.retain(|peer| policy.version_at(&peer.location) == Some(version));
        peers.sort_by_key(|peer| peer.location.host);
        peers
    }

    fn table(
        &self,
        version: &lift_types::VersionId,
        peers: Vec<lift_transfer::SwarmPeer>,
        goal: lift_types::TransferGoal,
    ) -> sync::Arc<lift_transfer::HomeTable> {
        let kept = self.tables.with_position(0, |tables| {
            let table = tables.get(version)?;
            (table.goal == goal && table.peers == peers).then(|| table.homes.clone())
        });
        if let Some(homes) = kept {
            return homes;
        }
        let homes = lift_transfer::HomeTable::new(peers.clone(), goal);
        let homes = sync::Arc::new(homes);
        let table = Table {
            peers,
            goal,
            homes: homes.clone(),
        };
        self.tables.with_position(0, |tables| {
            tables.shift_remove(version);
            tables.insert(version.clone(), table);
            if tables.len() > KEPT_TABLES {
                tables.shift_remove_index(0);
            }
        });
        homes
    }
}

#[async_trait::async_trait]
impl lift_rpc::SwarmPort for DirectorySwarm {
    async fn view(
        &self,
        req: lift_transfer::SwarmViewRequest,
    ) -> Result<lift_transfer::SwarmView, error_stack::Report<lift_rpc::ControlError>> {
        let policy = self.control.watch().borrow().policy.clone();
        let peers = self.peers(&policy, &req.version);
        let goal = policy.transfer_goal_at(&req.location);
        Ok(self.table(&req.version, peers, goal).view(&req.location))
    }
}
