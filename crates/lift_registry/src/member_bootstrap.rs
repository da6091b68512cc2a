//! Determines the identifier of a member at its start.

use std::{net, path, time};

use crate::{disk_owner, fleet_control_error, member_disk};

/// Delay between two attempts to join.
const JOIN_RETRY_DELAY: time::Duration = time::Duration::from_millis(300);

type Result<T> =
    std::result::Result<T, error_stack::Report<fleet_control_error::FleetControlError>>;

/// Settings from which a member determines its identifier.
#[derive(Clone, Debug)]
pub(crate) struct MemberBootstrap {
    /// At the first start of the fleet, its seeds are the initial members, numbered in order
    /// from 1.
    pub(crate) node: lift_feed::NodeSetup,
    pub(crate) folder: path::PathBuf,
    pub(crate) control: net::SocketAddr,
    pub(crate) is_first_start: bool,
}

impl MemberBootstrap {
    /// Returns the member's identifier: the one on its disk; else, at the first start of the
    /// fleet, the number of its seed; else a new one from the leader. Join requests are repeated
    /// until one succeeds.
    ///
    /// The settings of a process still say that it is the first start of the fleet when its member
    /// was removed later. The note on the disk then keeps it from taking the number of its seed
    /// again, which the other members would refuse for ever.
    pub(crate) async fn obtain_id(&self) -> Result<lift_types::MemberId> {
        let folder = self.folder.clone();
        let read = tokio::task::spawn_blocking(move || member_disk::read_owner(&folder)).await;
        let failed = fleet_control_error::FleetControlError::Start("disk");
        let id = match read.map_err(|_| failed)?? {
            disk_owner::DiskOwner::Member(id) => Some(id),
            disk_owner::DiskOwner::Retired => None,
            disk_owner::DiskOwner::Nobody => self.initial_id(),
        };
        match id {
            Some(id) => Ok(id),
            None => Ok(self.join().await),
        }
    }

    /// Returns the initial members and their identifiers, or none if this is not the first start
    /// of the fleet.
    pub(crate) fn initial_members(&self) -> Vec<(lift_types::MemberId, net::SocketAddr)> {
        if !self.is_first_start {
            return Vec::new();
        }
        (1..).zip(self.node.seeds.iter().copied()).collect()
    }

    fn initial_id(&self) -> Option<lift_types::MemberId> {
        let members = self.initial_members();
        let own = members.iter().find(|(_, control)| *control == self.control);
        own.map(|(id, _)| *id)
    }

    async fn join(&self) -> lift_types::MemberId {
        let request = lift_feed::Newcomer {
            peer: self.node.ports.peer(self.node.host()),
            control: self.control,
        };
        let mut hint = None;
        for attempt in 0.. {
            let seeds = self
                .node
                .seeds
                .iter()
                .map(|seed| self.node.ports.feed(seed.ip()));
            let seeds: Vec<_> = seeds.filter(|feed| feed.ip() != self.node.host()).collect();
            let next = seeds.get(attempt % seeds.len().max(1)).copied();
            if let Some(address) = hint.take().or(next) {
                match lift_feed::join(address, &self.node.keys, request).await {
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
            tokio::time::sleep(JOIN_RETRY_DELAY).await;
        }
        0
    }
}
