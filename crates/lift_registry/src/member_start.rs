//! How a member finds its identifier.

use std::{net, path, time};

use crate::{control_fault, member_disk};

/// Pause between two attempts to join.
const JOIN_PAUSE: time::Duration = time::Duration::from_millis(300);

type Result<T> = std::result::Result<T, error_stack::Report<control_fault::ControlFault>>;

/// Where a member runs and whom it knows at its start.
#[derive(Clone, Debug)]
pub(crate) struct MemberStart {
    /// At the first start of the fleet its seeds are the first members, in their order.
    pub(crate) node: lift_feed::NodeSetup,
    pub(crate) folder: path::PathBuf,
    pub(crate) control: net::SocketAddr,
    pub(crate) is_first_start: bool,
}

impl MemberStart {
    /// The member's identifier: from its disk; or as one of the first members; or, with an
    /// empty disk later, from the leader, for as long as that takes.
    pub(crate) async fn identifier(&self) -> Result<lift_types::MemberId> {
        let folder = self.folder.clone();
        let read = tokio::task::spawn_blocking(move || member_disk::identity(&folder)).await;
        let failed = control_fault::ControlFault::Start("disk");
        if let Some(id) = read.map_err(|_| failed)?? {
            return Ok(id);
        }
        match self.first_identifier() {
            Some(id) => Ok(id),
            None => Ok(self.join().await),
        }
    }

    /// The first members with their identifiers, if this is the first start.
    pub(crate) fn first_members(&self) -> Vec<(lift_types::MemberId, net::SocketAddr)> {
        if !self.is_first_start {
            return Vec::new();
        }
        (1..).zip(self.node.seeds.iter().copied()).collect()
    }

    fn first_identifier(&self) -> Option<lift_types::MemberId> {
        let members = self.first_members();
        let own = members.iter().find(|(_, control)| *control == self.control);
        own.map(|(id, _)| *id)
    }

    async fn join(&self) -> lift_types::MemberId {
        let newcomer = lift_feed::Newcomer {
            peer: self.node.ports.peer(self.node.host()),
            control: self.control,
        };
        let mut hint = None;
        for turn in 0.. {
            let seeds = self
                .node
                .seeds
                .iter()
                .map(|seed| self.node.ports.feed(seed.ip()));
            let seeds: Vec<_> = seeds.filter(|feed| feed.ip() != self.node.host()).collect();
            let next = seeds.get(turn % seeds.len().max(1)).copied();
            if let Some(address) = hint.take().or(next) {
                match lift_feed::join(address, &self.node.keys, newcomer).await {
                    Ok(lift_feed::JoinAnswer::Joined(id)) => {
                        slog::info!(self.node.log, "joined control"; "member" => id);
                        return id;
                    }
                    Ok(lift_feed::JoinAnswer::Elsewhere(leader)) => hint = leader,
                    Ok(lift_feed::JoinAnswer::Later) => {}
                    Err(e) => slog::debug!(self.node.log, "join failed"; "at" => address,
                        "error" => %e),
                }
            }
            tokio::time::sleep(JOIN_PAUSE).await;
        }
        0
    }
}
