//! A small cluster on loopback.

#![allow(dead_code)]

mod history;
mod sending;

use std::{net, sync, time};

use lift_log::ReplicatedLog as _;

/// Longest wait for something that must happen.
pub const PATIENCE: time::Duration = time::Duration::from_secs(10);

/// Counts commands and keeps a hash over their order, so that two states are equal only
/// where the same commands were applied in the same order.
#[derive(Debug, Default)]
pub struct Ledger {
    state: sync::Mutex<(u64, u64)>,
    history: Option<sync::Arc<history::History>>,
}

impl Ledger {
    pub fn new(history: Option<sync::Arc<history::History>>) -> Self {
        Self {
            state: sync::Mutex::default(),
            history,
        }
    }

    pub fn state(&self) -> (u64, u64) {
        *self.state.lock().unwrap()
    }
}

impl lift_log::StateMachine for Ledger {
    fn reset(&self) {
        *self.state.lock().unwrap() = Default::default();
    }

    fn apply(&self, index: lift_types::LogIndex, command: &[u8]) -> bytes::Bytes {
        if let Some(history) = &self.history {
            history.apply(index, command);
        }
        let mut state = self.state.lock().unwrap();
        *state = add(*state, command);
        bytes::Bytes::copy_from_slice(&state.0.to_le_bytes())
    }

    fn snapshot(&self) -> bytes::Bytes {
        let state = self.state();
        let mut buf = Vec::from(state.0.to_le_bytes());
        buf.extend(state.1.to_le_bytes());
        bytes::Bytes::from(buf)
    }

    fn restore(&self, buf: &[u8]) -> bool {
        let Some((count, hash)) = buf.split_at_checked(8) else {
            return false;
        };
        let (Ok(count), Ok(hash)) = (count.try_into(), hash.try_into()) else {
            return false;
        };
        *self.state.lock().unwrap() = (u64::from_le_bytes(count), u64::from_le_bytes(hash));
        true
    }
}

/// The state after one more command.
fn add((count, mut hash): (u64, u64), command: &[u8]) -> (u64, u64) {
    for byte in command {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    (count + 1, hash)
}

/// One member with its folder and state.
pub struct Member {
    pub id: lift_types::MemberId,
    pub listener: net::TcpListener,
    pub folder: tempfile::TempDir,
    pub ledger: sync::Arc<Ledger>,
    pub driver: Option<lift_log::LogDriver>,
}

impl Member {
    pub fn new(id: lift_types::MemberId) -> Self {
        Self {
            id,
            listener: net::TcpListener::bind("127.0.0.1:0").unwrap(),
            folder: tempfile::tempdir().unwrap(),
            ledger: sync::Arc::default(),
            driver: None,
        }
    }

    pub fn address(&self) -> net::SocketAddr {
        self.listener.local_addr().unwrap()
    }

    pub fn driver(&self) -> &lift_log::LogDriver {
        self.driver.as_ref().unwrap()
    }
}

pub struct Cluster {
    pub members: Vec<Member>,
    pub initial: Vec<(lift_types::MemberId, net::SocketAddr)>,
    pub switch: sync::Arc<lift_log::LinkSwitch>,
    pub limits: lift_consensus::Limits,
    /// Counters of all members together.
    pub counters: sync::Arc<lift_obs::Counters>,
    pub history: sync::Arc<history::History>,
    /// Measurements go without a record of what is applied.
    pub is_recorded: bool,
}

impl Cluster {
    /// Starts `count` members and waits for a leader.
    pub async fn start(count: u64) -> Self {
        Self::start_with(count, lift_consensus::Limits::default()).await
    }

    pub async fn start_with(count: u64, limits: lift_consensus::Limits) -> Self {
        Self::start_recorded(count, limits, true).await
    }

    /// Starts members that keep no record of what they apply, which takes time.
    pub async fn start_unrecorded(count: u64) -> Self {
        Self::start_recorded(count, lift_consensus::Limits::default(), false).await
    }

    async fn start_recorded(count: u64, limits: lift_consensus::Limits, is_recorded: bool) -> Self {
        let members: Vec<_> = (1..=count).map(Member::new).collect();
        let initial = members.iter().map(|m| (m.id, m.address())).collect();
        let mut cluster = Self {
            members,
            initial,
            switch: sync::Arc::default(),
            limits,
            counters: sync::Arc::default(),
            history: sync::Arc::default(),
            is_recorded,
        };
        for position in 0..count as usize {
            cluster.start_member(position).await.unwrap();
        }
        cluster.leader().await;
        cluster
    }

    /// Starts a member from its folder, with a new state machine.
    pub async fn start_member(
        &mut self,
        position: usize,
    ) -> Result<(), error_stack::Report<lift_log::StartError>> {
        let history = self.is_recorded.then(|| sync::Arc::clone(&self.history));
        let member = &mut self.members[position];
        member.ledger = sync::Arc::new(Ledger::new(history));
        let mut builder = lift_log::LogDriver::builder()
            .id(member.id)
            .folder(member.folder.path())
            .peer_listener(member.listener.try_clone().unwrap())
            .keys(lift_wire::LinkKeys::new(lift_wire::LinkKey::new(
                1, [7; 32],
            )))
            .state_machine(sync::Arc::clone(&member.ledger) as _)
            .limits(self.limits)
            .counters(sync::Arc::clone(&self.counters))
            .link_switch(sync::Arc::clone(&self.switch));
        let joins = !self.initial.iter().any(|(id, _)| *id == member.id);
        for (id, address) in self.initial.iter().filter(|_| !joins) {
            builder = builder.initial_member(*id, *address, *address);
        }
        member.driver = Some(builder.start().await?);
        Ok(())
    }

    /// Stops a member without handing over.
    pub async fn kill(&mut self, position: usize) {
        if let Some(driver) = self.members[position].driver.take() {
            driver.abort().await;
        }
    }

    /// Cuts a member off without an error.
    pub fn isolate(&self, position: usize) {
        for member in &self.members {
            self.switch.cut(self.members[position].id, member.id);
        }
    }

    pub fn rejoin(&self, position: usize) {
        for member in &self.members {
            self.switch.heal(self.members[position].id, member.id);
        }
    }

    /// Position of the member that leads under a valid lease. Waits for one.
    pub async fn leader(&self) -> usize {
        self.leader_except(usize::MAX).await
    }

    pub async fn leader_except(&self, except: usize) -> usize {
        let until = time::Instant::now() + PATIENCE;
        while time::Instant::now() < until {
            for (position, member) in self.members.iter().enumerate() {
                let Some(driver) = &member.driver else {
                    continue;
                };
                let leadership = driver.leadership().borrow().clone();
                if let lift_log::Leadership::Leader { lease_until, .. } = leadership
                    && lease_until > time::Instant::now()
                    && position != except
                {
                    return position;
                }
            }
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
        panic!("no leader");
    }

    /// Proposes a command to one member and notes what became of it. Returns the number of
    /// commands up to it.
    pub async fn propose(
        &self,
        position: usize,
        command: &str,
    ) -> Result<u64, error_stack::Report<lift_log::ProposeError>> {
        let name = self.history.begin(command);
        let buf = bytes::Bytes::copy_from_slice(name.as_bytes());
        let answer = self.members[position].driver().propose(buf).await;
        let answer = answer.map(|reply| u64::from_le_bytes(reply[..].try_into().unwrap()));
        let outcome = match &answer {
            Ok(count) => sending::Outcome::Acknowledged(*count),
            Err(e) if *e.current_context() == lift_log::ProposeError::Unknown => {
                sending::Outcome::Unknown
            }
            Err(_) => sending::Outcome::Refused,
        };
        self.history.end(&name, outcome);
        answer
    }

    /// Commits a command through whoever leads. One whose outcome is unknown is sent again
    /// under another name, so both may be applied.
    pub async fn commit(&self, command: &str) {
        let until = time::Instant::now() + PATIENCE;
        while time::Instant::now() < until {
            let leader = self.leader().await;
            if self.propose(leader, command).await.is_ok() {
                return;
            }
        }
        panic!("not committed");
    }

    /// Waits until the state of each running member is that of the whole history, and
    /// verifies the history.
    pub async fn converge(&self) {
        assert!(self.is_recorded, "nothing to compare with");
        let until = time::Instant::now() + PATIENCE;
        while self.converge_unrecorded().await != self.whole_state() {
            let applied = self.history.applied();
            assert!(time::Instant::now() < until, "not the state of {applied:?}");
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
        self.history.verify();
    }

    /// Waits until all running members have the same state.
    pub async fn converge_unrecorded(&self) -> (u64, u64) {
        let until = time::Instant::now() + PATIENCE;
        loop {
            let running = self.members.iter().filter(|m| m.driver.is_some());
            let states: Vec<_> = running.map(|m| m.ledger.state()).collect();
            if states.iter().all(|state| *state == states[0]) {
                return states[0];
            }
            assert!(time::Instant::now() < until, "states differ: {states:?}");
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    }

    /// The state after all applied commands.
    fn whole_state(&self) -> (u64, u64) {
        let applied = self.history.applied();
        let commands = applied.iter().map(String::as_bytes);
        commands.fold(Default::default(), add)
    }
}
