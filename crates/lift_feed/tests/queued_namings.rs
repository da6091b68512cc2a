//! Namings that wait in the queue of a member, behind a link on which nothing arrives for a while.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::{net, sync, time};

use lift_feed::{FeedSource as _, NamedWeights};
use support::{Member, Observer, client, ports, record, until};
use sync::atomic;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Small, so that what a member sends soon waits in its own queue.
const RECEIVE_BUFFER_BYTES: u32 = 8 * 1024;

/// Bytes of records that fill the buffers between the member and the node.
const FILLING_BYTES: usize = 900_000;

/// Records that fill the buffers between the member and the node.
const FILLING_RECORDS: usize = 24;

/// Forwards from `host` to `member`. Nothing travels back to the node while `is_held`.
async fn forward(host: [u8; 4], member: [u8; 4], is_held: sync::Arc<atomic::AtomicBool>) {
    let address = ports().feed(net::IpAddr::from(host));
    let listener = tokio::net::TcpListener::bind(address).await.unwrap();
    tokio::spawn(async move {
        while let Ok((node, _)) = listener.accept().await {
            let socket = tokio::net::TcpSocket::new_v4().unwrap();
            socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
            let address = ports().feed(net::IpAddr::from(member));
            let member = socket.connect(address).await.unwrap();
            let (mut from_node, to_node) = node.into_split();
            let (from_member, mut to_member) = member.into_split();
            tokio::spawn(async move {
                let _ = tokio::io::copy(&mut from_node, &mut to_member).await;
            });
            tokio::spawn(forward_back(
                from_member,
                to_node,
                sync::Arc::clone(&is_held),
            ));
        }
    });
}

async fn forward_back(
    mut from_member: tokio::net::tcp::OwnedReadHalf,
    mut to_node: tokio::net::tcp::OwnedWriteHalf,
    is_held: sync::Arc<atomic::AtomicBool>,
) {
    let mut buf = vec![0; 64 * 1024];
    loop {
        while is_held.load(atomic::Ordering::SeqCst) {
            tokio::time::sleep(time::Duration::from_millis(2)).await;
        }
        let Ok(n @ 1..) = from_member.read(&mut buf).await else {
            return;
        };
        if to_node.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}

/// Names a version while nothing arrives at the node. Returns the time right after the naming, and
/// the last time that the node has learned.
async fn name_behind_a_held_link(round: u8) -> (time::Instant, time::Instant) {
    let (host, link) = ([127, 0, 120, round], [127, 0, 121, round]);
    let member = Member::start(host).await;
    member.source.put(1);
    member.source.lead(true);
    let is_held = sync::Arc::new(atomic::AtomicBool::new(false));
    forward(link, host, sync::Arc::clone(&is_held)).await;
    let observer = sync::Arc::new(Observer::default());
    let _node = client(&observer, [127, 0, 122, round], &[link]);
    until("a confirmation", || observer.confirmed.lock().is_some()).await;
    tokio::time::sleep(time::Duration::from_millis(900)).await;
    is_held.store(true, atomic::Ordering::SeqCst);
    for i in 0..FILLING_RECORDS {
        let mut record = record(&format!("filling-{i}"));
        record.announcement.service = "s".repeat(FILLING_BYTES);
        member.server.push_backends(vec![record]);
    }
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    member.source.name(NamedWeights {
        version: 2,
        named_for: Some(time::Duration::ZERO),
        earlier: Vec::new(),
    });
    let named_at = time::Instant::now();
    member.server.push_head(member.source.head());
    tokio::time::sleep(time::Duration::from_millis(900)).await;
    is_held.store(false, atomic::Ordering::SeqCst);
    tokio::time::sleep(time::Duration::from_millis(2_500)).await;
    let learned = observer.weights.lock().last().copied();
    (named_at, learned.unwrap().1.unwrap())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_naming_that_waits_in_the_queue_of_a_member_does_not_look_younger() {
    // The order in which a member serves its queue and a question is drawn anew in each round.
    let rounds: Vec<_> = (1..=6)
        .map(|round| tokio::spawn(name_behind_a_held_link(round)))
        .collect();
    for round in rounds {
        let (named_at, learned) = round.await.unwrap();
        assert!(learned <= named_at, "{:?} late", learned - named_at);
    }
}
