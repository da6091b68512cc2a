//! A replicated log without disks and connections.

use std::{net, sync, time};

use tokio::sync::watch;

/// Lease of the leader that a test has set. Longer than any test.
const LEASE: time::Duration = time::Duration::from_secs(3_600);

/// What the members of one log share.
#[derive(Debug)]
struct Group {
    machines: Vec<sync::Arc<dyn lift_log::StateMachine>>,
    addresses: Vec<net::SocketAddr>,
    leaders: Vec<watch::Sender<lift_log::Leadership>>,
    next_index: parking_lot::Mutex<lift_types::LogIndex>,
}

/// One member of a log that is kept in memory. Commands are applied at all members at once.
/// The leader is whom the test names with [`MemoryLog::lead`]; there are no elections.
#[derive(Debug)]
pub struct MemoryLog {
    group: sync::Arc<Group>,
    member: usize,
}

impl MemoryLog {
    /// Makes a log with one member, which leads.
    pub fn single(machine: sync::Arc<dyn lift_log::StateMachine>) -> sync::Arc<Self> {
        let log = sync::Arc::new(Self {
            group: sync::Arc::new(Group::new(vec![machine], Vec::new())),
            member: 0,
        });
        log.lead();
        log
    }

    /// Makes a log with one member for each machine, of which none leads. `addresses` are
    /// where the members serve control operations.
    pub fn group(
        machines: Vec<sync::Arc<dyn lift_log::StateMachine>>,
        addresses: Vec<net::SocketAddr>,
    ) -> Vec<sync::Arc<Self>> {
        let count = machines.len();
        let group = sync::Arc::new(Group::new(machines, addresses));
        (0..count)
            .map(|member| {
                sync::Arc::new(Self {
                    group: sync::Arc::clone(&group),
                    member,
                })
            })
            .collect()
    }

    /// Makes this member the leader, in the next term.
    pub fn lead(&self) {
        let now = time::Instant::now();
        let mut index = self.group.next_index.lock();
        *index += 1;
        let address = self.group.addresses.get(self.member);
        let leader = address.map(|address| (self.member as u64, *address));
        for (member, sender) in self.group.leaders.iter().enumerate() {
            sender.send_replace(if member == self.member {
                lift_log::Leadership::Leader {
                    term: *index,
                    since: now,
                    lease_until: now + LEASE,
                }
            } else {
                lift_log::Leadership::Follower { leader }
            });
        }
    }

    /// Leaves the log without a leader.
    pub fn stop_leading(&self) {
        for sender in &self.group.leaders {
            sender.send_replace(lift_log::Leadership::Follower { leader: None });
        }
    }

    fn is_leader(&self) -> bool {
        let leadership = self.group.leaders[self.member].borrow();
        matches!(*leadership, lift_log::Leadership::Leader { .. })
    }
}

impl Group {
    fn new(
        machines: Vec<sync::Arc<dyn lift_log::StateMachine>>,
        addresses: Vec<net::SocketAddr>,
    ) -> Self {
        let follower = || lift_log::Leadership::Follower { leader: None };
        let leaders = machines
            .iter()
            .map(|_| watch::Sender::new(follower()))
            .collect();
        Self {
            machines,
            addresses,
            leaders,
            next_index: parking_lot::Mutex::new(0),
        }
    }
}

#[async_trait::async_trait]
impl lift_log::ReplicatedLog for MemoryLog {
    async fn propose(
        &self,
        command: bytes::Bytes,
    ) -> Result<bytes::Bytes, error_stack::Report<lift_log::ProposeError>> {
        let mut index = self.group.next_index.lock();
        if !self.is_leader() {
            return Err(error_stack::Report::new(lift_log::ProposeError::NotLeader));
        }
        *index += 1;
        let mut own = bytes::Bytes::new();
        for (member, machine) in self.group.machines.iter().enumerate() {
            let reply = machine.apply(*index, &command);
            if member == self.member {
                own = reply;
            }
        }
        Ok(own)
    }

    fn leadership(&self) -> watch::Receiver<lift_log::Leadership> {
        self.group.leaders[self.member].subscribe()
    }

    fn members(&self) -> lift_log::LogStatus {
        let last = *self.group.next_index.lock();
        lift_log::LogStatus {
            id: self.member as lift_types::MemberId,
            term: last,
            commit: last,
            last,
            members: lift_consensus::MemberSet::new(),
            is_committed: true,
            answers: indexmap::IndexMap::new(),
        }
    }

    /// The members of this stand-in are fixed, so every change is refused.
    async fn change_member(
        &self,
        _change: lift_consensus::MemberChange,
    ) -> Result<(), error_stack::Report<lift_log::ChangeError>> {
        let refused = lift_log::ChangeError::Refused(lift_consensus::Refusal::NoSuchMember);
        Err(error_stack::Report::new(refused))
    }

    async fn stop(&self) {
        if self.is_leader() {
            self.stop_leading();
        }
    }
}
