//! Simulated host with a member of the cluster.

use std::{collections, sync, time};

use rand::rngs;
use rand::{RngExt as _, SeedableRng as _};

/// Applied commands by the index of their entry.
pub type Applied = collections::BTreeMap<u64, bytes::Bytes>;

/// The times are short compared to a run, so that there are many elections. The jitter is
/// small, so that several candidates often compete in one term.
const TIMING: lift_consensus::Timing = lift_consensus::Timing {
    heartbeat_interval: time::Duration::from_millis(20),
    election_timeout: time::Duration::from_millis(100),
    election_jitter: time::Duration::from_millis(30),
    drift_percent: 5,
    sync_timeout: time::Duration::from_millis(200),
};

pub struct Host {
    pub id: u64,
    pub disk: sync::Arc<lift_disk::SimulatedDisk>,
    pub store: Option<lift_disk::LogStore>,
    pub replica: Option<lift_consensus::Replica>,
    /// Members in the initial configuration of the host.
    pub initial_members: lift_consensus::MemberSet,
    /// Rate of the host's clock, in thousandths of real time.
    pub clock_rate: u32,
    pub state: Applied,
    pub applied: u64,
    pub writes: Vec<lift_consensus::Write>,
    /// Earliest time of the next sync, in ms.
    pub disk_due: u64,
    /// Time at which a crashed host restarts, in ms.
    pub restart_due: u64,
    /// Events to be handled.
    pub inbox: collections::VecDeque<lift_consensus::Event>,
    /// Messages to be sent.
    pub outbox: Vec<lift_consensus::Message>,
    pub newly_applied: Vec<lift_consensus::Entry>,
}

impl Host {
    pub fn new(id: u64, initial_members: lift_consensus::MemberSet, clock_rate: u32) -> Self {
        Self {
            id,
            disk: sync::Arc::default(),
            store: None,
            replica: None,
            initial_members,
            clock_rate,
            state: Applied::new(),
            applied: 0,
            writes: Vec::new(),
            disk_due: 0,
            restart_due: 0,
            inbox: collections::VecDeque::new(),
            outbox: Vec::new(),
            newly_applied: Vec::new(),
        }
    }

    /// Returns the time of the host's own clock at `ms`.
    pub fn local_time(&self, base: time::Instant, ms: u64) -> time::Instant {
        base + time::Duration::from_micros(ms * u64::from(self.clock_rate))
    }

    /// Recovers the state from the disk and starts a replica. Returns `false` where the disk
    /// failed. Asserts that the loss of unsynced data is never reported as damage.
    pub fn start(&mut self, now: time::Instant, rng: &mut rngs::StdRng) -> bool {
        let opened = lift_disk::LogStore::open(sync::Arc::clone(&self.disk) as _);
        let (store, recovered) = match opened {
            Ok(opened) => opened,
            Err(e) => {
                assert_eq!(*e.current_context(), lift_disk::DiskError::InjectedFailure);
                return false;
            }
        };
        let limits = lift_consensus::Limits {
            append_bytes: 200,
            in_flight_messages: 3,
            snapshot_part_bytes: 700,
            snapshot_after_entries: 12,
            snapshot_after_percent: 0,
            keep_entries: 4,
            ..lift_consensus::Limits::default()
        };
        let cfg = lift_consensus::ReplicaConfig {
            id: self.id,
            members: self.initial_members.clone(),
            timing: TIMING,
            limits,
            ..lift_consensus::ReplicaConfig::default()
        };
        let rng = rngs::StdRng::seed_from_u64(rng.random());
        self.state.clear();
        self.applied = 0;
        self.store = Some(store);
        self.replica = Some(lift_consensus::Replica::new(cfg, recovered, now, rng));
        self.inbox.push_back(lift_consensus::Event::Tick);
        true
    }

    /// Drops the state in memory and the unsynced data on the disk. The host restarts at
    /// `restart_due`, in ms.
    pub fn crash(&mut self, rng: &mut rngs::StdRng, restart_due: u64) {
        self.replica = None;
        self.store = None;
        self.writes.clear();
        self.inbox.clear();
        self.outbox.clear();
        self.newly_applied.clear();
        self.disk.crash(rng);
        self.restart_due = restart_due;
    }

    /// Handles all events in the inbox. Returns `false` where the disk failed.
    pub fn handle_events(&mut self, now: time::Instant) -> bool {
        while let Some(event) = self.inbox.pop_front() {
            let Some(replica) = &mut self.replica else {
                return true;
            };
            for action in replica.step(now, event) {
                if !self.perform(action) {
                    return false;
                }
            }
        }
        true
    }

    /// Writes and syncs the pending writes. Returns `false` where the disk failed.
    pub fn sync_writes(&mut self) -> bool {
        let writes = std::mem::take(&mut self.writes);
        let (Some(store), Some(last)) = (&mut self.store, writes.last()) else {
            return true;
        };
        let number = last.number;
        if store.write(writes).is_err() {
            return false;
        }
        self.inbox.push_back(lift_consensus::Event::Synced(number));
        true
    }

    fn perform(&mut self, action: lift_consensus::Action) -> bool {
        match action {
            lift_consensus::Action::Write(write) => self.writes.push(write),
            lift_consensus::Action::Send(message) => self.outbox.push(message),
            lift_consensus::Action::Apply(entries) => {
                for entry in entries {
                    assert_eq!(
                        entry.index,
                        self.applied + 1,
                        "entries applied out of order"
                    );
                    self.applied = entry.index;
                    if let lift_consensus::Payload::Command(command) = &entry.payload {
                        self.state.insert(entry.index, command.clone());
                    }
                    self.newly_applied.push(entry);
                }
                self.inbox
                    .push_back(lift_consensus::Event::Applied(self.applied));
            }
            lift_consensus::Action::Restore(snapshot) => {
                self.state = decode(&snapshot.state);
                self.applied = snapshot.index;
                self.inbox
                    .push_back(lift_consensus::Event::Applied(self.applied));
            }
            lift_consensus::Action::TakeSnapshot => {
                let (index, state) = (self.applied, encode(&self.state));
                self.inbox
                    .push_back(lift_consensus::Event::SnapshotTaken { index, state });
            }
            lift_consensus::Action::SaveSnapshot(snapshot) => {
                let store = lift_disk::SnapshotStore::new(sync::Arc::clone(&self.disk) as _);
                if store.save(&snapshot).is_err() {
                    return false;
                }
                self.inbox
                    .push_back(lift_consensus::Event::SnapshotSaved(snapshot.index));
            }
            lift_consensus::Action::Appended { .. }
            | lift_consensus::Action::Refused(_)
            | lift_consensus::Action::EndReplay => {}
        }
        true
    }
}

fn encode(state: &Applied) -> bytes::Bytes {
    bytes::Bytes::from(postcard::to_stdvec(state).unwrap())
}

fn decode(buf: &[u8]) -> Applied {
    postcard::from_bytes(buf).unwrap()
}
