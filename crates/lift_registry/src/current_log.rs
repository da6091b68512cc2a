//! Handle to the replicated log while it runs.

use std::{net, sync, time};

use crate::fleet_control_error;

type Log = sync::Arc<dyn lift_log::ReplicatedLog>;

/// Holds the replicated log while it runs. There is none while the member starts, joins or
/// restarts, and after it was stopped.
#[derive(Debug, Default)]
pub(crate) struct CurrentLog {
    log: parking_lot::RwLock<Option<Log>>,
}

impl CurrentLog {
    /// Replaces the log. `None` means that none runs.
    pub(crate) fn set(&self, log: Option<Log>) {
        *self.log.write() = log;
    }

    /// Returns the log, or `None` if none runs.
    pub(crate) fn get(&self) -> Option<Log> {
        self.log.read().clone()
    }

    /// Returns the log if this member is the leader with a valid lease, and since when it leads.
    ///
    /// # Errors
    ///
    /// Returns `Unavailable` if no log runs or the lease has expired, and `NotLeader` if this
    /// member is a follower.
    pub(crate) fn leader_log(
        &self,
    ) -> Result<(Log, time::Instant), fleet_control_error::FleetControlError> {
        let log = self
            .get()
            .ok_or(fleet_control_error::FleetControlError::Unavailable)?;
        let leadership = log.leadership().borrow().clone();
        match leadership {
            lift_log::Leadership::Leader {
                since, lease_until, ..
            } if lift_clock::now() < lease_until => Ok((log, since)),
            lift_log::Leadership::Leader { .. } => {
                Err(fleet_control_error::FleetControlError::Unavailable)
            }
            lift_log::Leadership::Follower { leader } => {
                let leader = leader.map(|(_, address)| address);
                Err(fleet_control_error::FleetControlError::NotLeader { leader })
            }
        }
    }

    /// Returns whether this member leads with a valid lease, and has done so since `at` or longer.
    pub(crate) fn leads_since(&self, at: time::Instant) -> bool {
        self.leader_log().is_ok_and(|(_, since)| since <= at)
    }

    /// Returns whether this member leads with a valid lease or follows a known leader, so that it
    /// can reach a quorum.
    pub(crate) fn can_reach_quorum(&self) -> bool {
        match self.leader_log() {
            Ok(_) => true,
            Err(fleet_control_error::FleetControlError::NotLeader { leader }) => leader.is_some(),
            Err(_) => false,
        }
    }

    /// Returns the control address of the leader, or `None` if this member leads, has no log or
    /// knows no leader.
    pub(crate) fn other_leader(&self) -> Option<net::SocketAddr> {
        match self.leader_log() {
            Err(fleet_control_error::FleetControlError::NotLeader { leader }) => leader,
            _ => None,
        }
    }
}
