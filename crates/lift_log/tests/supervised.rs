//! Guards against a member that ends for good, or forgets or repeats commands, when its disk
//! fails for a while.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use std::{net, sync, time};

use lift_log::ReplicatedLog as _;

/// Proposes until the command is committed. Returns its reply.
async fn commit(log: &lift_log::SupervisedLog, command: &'static str) -> u64 {
    let until = time::Instant::now() + common::PATIENCE;
    loop {
        match log
            .propose(bytes::Bytes::from_static(command.as_bytes()))
            .await
        {
            Ok(reply) => return u64::from_le_bytes(reply[..].try_into().unwrap()),
            Err(e) => assert!(time::Instant::now() < until, "{e:?}"),
        }
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_member_whose_disk_failed_for_a_while_commits_again() {
    let disk = sync::Arc::new(lift_disk::SimulatedDisk::new());
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let ledger = sync::Arc::new(common::Ledger::default());
    let log = lift_log::LogDriver::builder()
        .id(1)
        .initial_member(1, addr, addr)
        .peer_listener(listener)
        .disk(disk.clone())
        .keys(lift_wire::LinkKeys::new(lift_wire::LinkKey::new(
            1, [7; 32],
        )))
        .state_machine(ledger.clone())
        .start_supervised()
        .await
        .unwrap();
    let mut committed = 0;
    for _ in 0..3 {
        for _ in 0..5 {
            committed += 1;
            assert_eq!(commit(&log, "command").await, committed);
        }
        disk.fail_after(1);
        let lost = bytes::Bytes::from_static(b"lost");
        let e = log.propose(lost).await.unwrap_err();
        assert_eq!(*e.current_context(), lift_log::ProposeError::Unknown);
        disk.fail_after(u64::MAX);
        // The command without an answer was written or not.
        let before = committed;
        committed = commit(&log, "after the failure").await;
        assert!((before + 1..=before + 2).contains(&committed));
        assert_eq!(ledger.state().0, committed);
    }
    log.stop().await;
}
