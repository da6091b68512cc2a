//! Members whose disks take longer than their connections wait.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use std::{sync, thread, time};

use lift_log::ReplicatedLog as _;

/// Time for one sync of the identity. A connection that is being opened ends after 250 ms.
const SYNC_TIME: time::Duration = time::Duration::from_millis(400);

type Result<T> = std::result::Result<T, error_stack::Report<lift_disk::DiskError>>;

/// Disk that is slow to sync the identity.
#[derive(Debug, Default)]
struct SlowDisk {
    files: lift_disk::SimulatedDisk,
}

impl lift_disk::Disk for SlowDisk {
    fn list(&self) -> Result<Vec<String>> {
        self.files.list()
    }

    fn read(&self, name: &str) -> Result<Vec<u8>> {
        self.files.read(name)
    }

    fn append(&self, name: &str, buf: &[u8]) -> Result<()> {
        self.files.append(name, buf)
    }

    fn sync(&self, name: &str) -> Result<()> {
        if name.starts_with("identity") {
            thread::sleep(SYNC_TIME);
        }
        self.files.sync(name)
    }

    fn truncate(&self, name: &str, length: u64) -> Result<()> {
        self.files.truncate(name, length)
    }

    fn rename(&self, from: &str, to: &str) -> Result<()> {
        self.files.rename(from, to)
    }

    fn remove(&self, name: &str) -> Result<()> {
        self.files.remove(name)
    }
}

async fn start(member: &common::Member, members: &[common::Member]) -> lift_log::LogDriver {
    let key = lift_wire::LinkKey::new(1, [7; 32]);
    let mut builder = lift_log::LogDriver::builder()
        .id(member.id)
        .disk(sync::Arc::new(SlowDisk::default()))
        .peer_listener(member.listener.try_clone().unwrap())
        .keys(lift_wire::LinkKeys::new(key))
        .state_machine(sync::Arc::clone(&member.ledger) as _);
    for other in members {
        builder = builder.initial_member(other.id, other.address(), other.address());
    }
    builder.start().await.unwrap()
}

/// Guards against members that never vote because the connection that confirmed them ended before
/// the confirmation was saved.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn members_with_slow_disks_elect_a_leader() {
    let members: Vec<_> = (1..=3).map(common::Member::new).collect();
    let mut drivers = Vec::new();
    for member in &members {
        drivers.push(start(member, &members).await);
    }
    let is_led = || {
        drivers.iter().any(|driver| {
            let leadership = driver.leadership();
            let leads = matches!(*leadership.borrow(), lift_log::Leadership::Leader { .. });
            leads
        })
    };
    let until = time::Instant::now() + common::PATIENCE;
    while !is_led() {
        assert!(time::Instant::now() < until, "no leader");
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}
