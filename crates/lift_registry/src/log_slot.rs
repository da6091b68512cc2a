//! The part of the replicated log that runs now.

use std::{net, sync, time};

use crate::control_fault;

type Log = sync::Arc<dyn lift_log::ReplicatedLog>;

/// Holds the log while there is one. A member that joins, or that starts again on an empty
/// disk, has none for a while.
#[derive(Debug, Default)]
pub(crate) struct LogSlot {
    log: parking_lot::RwLock<Option<Log>>,
}

impl LogSlot {
    /// Puts in the log that runs from now on.
    pub(crate) fn set(&self, log: Option<Log>) {
        *self.log.write() = log;
    }

    /// The log.
    pub(crate) fn get(&self) -> Option<Log> {
        self.log.read().clone()
    }

    /// The log, while this member leads under its lease. The start of its term comes along.
    pub(crate) fn leading(&self) -> Result<(Log, time::Instant), control_fault::ControlFault> {
        let log = self.get().ok_or(control_fault::ControlFault::Unavailable)?;
        let leadership = log.leadership().borrow().clone();
        match leadership {
            lift_log::Leadership::Leader {
                since, lease_until, ..
            } if lift_clock::now() < lease_until => Ok((log, since)),
            lift_log::Leadership::Leader { .. } => Err(control_fault::ControlFault::Unavailable),
            lift_log::Leadership::Follower { leader } => {
                let leader = leader.map(|(_, address)| address);
                Err(control_fault::ControlFault::NotLeader { leader })
            }
        }
    }

    /// Whether this member leads, or hears from a leader, so that a quorum is in reach.
    pub(crate) fn is_in_touch(&self) -> bool {
        match self.leading() {
            Ok(_) => true,
            Err(control_fault::ControlFault::NotLeader { leader }) => leader.is_some(),
            Err(_) => false,
        }
    }

    /// Where the leader takes calls, unless this member leads or knows none.
    pub(crate) fn leader_elsewhere(&self) -> Option<net::SocketAddr> {
        match self.leading() {
            Err(control_fault::ControlFault::NotLeader { leader }) => leader,
            _ => None,
        }
    }
}
