//! Guards against connections that stall, servers that restart and messages that the other
//! end does not know.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lift_rpc::{ControlPort as _, Relay};
use lift_types::PolicyView;
use lift_wire::Purpose;
use support::{LOCAL, Scripted, client, keys, serve, until};
use tokio::net::{TcpListener, TcpStream};

/// Accepts connections and, after the handshake, never answers. This is what a client sees
/// of a connection whose state a device on the path has lost.
async fn silent() -> SocketAddr {
    let listener = TcpListener::bind(LOCAL).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            open.push(lift_wire::accept(stream, &keys(), Purpose::ControlClient).await);
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_connection_is_replaced_before_the_node_is_unconfirmed() {
    let server = serve(Scripted::at(3), LOCAL).await;
    let silent = silent().await;
    let client = client(&[silent, silent, server.address()]);
    let began = Instant::now();
    until(&client, |v| {
        v.policy.revision == 3 && v.confirmed_at.is_some()
    })
    .await;
    assert!(began.elapsed() < PolicyView::CONFIRM_TIMEOUT);
    assert_eq!(client.versions().await.unwrap(), ["v1"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lower_revision_is_never_applied_after_a_restart() {
    let server = serve(Scripted::at(5), LOCAL).await;
    let client = client(&[server.address()]);
    until(&client, |v| v.policy.revision == 5).await;
    let address = server.address();
    drop(server);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let behind = Scripted::at(4);
    let _server = serve(behind.clone(), address).await;
    assert_eq!(client.versions().await.unwrap(), ["v1"]);
    assert_eq!(client.watch().borrow().policy.revision, 5);
    behind.set(6);
    until(&client, |v| v.policy.revision == 6).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_revision_is_pushed_without_a_question() {
    let port = Scripted::at(1);
    let server = serve(port.clone(), LOCAL).await;
    let client = client(&[server.address()]);
    until(&client, |v| v.confirmed_at.is_some()).await;
    // After the answer the server still has to note that the client follows.
    tokio::time::sleep(Duration::from_millis(50)).await;
    for revision in 2..6 {
        let began = Instant::now();
        port.set(revision);
        until(&client, |v| v.policy.revision == revision).await;
        assert!(began.elapsed() < Duration::from_millis(200));
    }
}

#[tokio::test]
async fn an_unknown_message_is_refused_and_the_connection_goes_on() {
    /// The envelope of `lift_rpc`, written down again so that a change of it is noticed.
    #[derive(Debug, serde::Serialize, serde::Deserialize)]
    struct Envelope {
        version: u16,
        kind: u8,
        id: u64,
        body: bytes::Bytes,
    }
    let server = serve(Scripted::at(1), LOCAL).await;
    let stream = TcpStream::connect(server.address()).await.unwrap();
    let ends = lift_wire::connect(stream, &keys(), Purpose::ControlClient).await;
    let (mut rx, mut tx) = ends.unwrap();
    let unknown = [
        (1, 1, &[250_u8][..], "decoded"),
        (1, 9, &[0, 1], "message kind 9"),
        (2, 1, &[0, 1], "message version 2"),
    ];
    for (id, (version, kind, body, problem)) in unknown.into_iter().enumerate() {
        let envelope = Envelope {
            version,
            kind,
            id: id as u64,
            body: bytes::Bytes::copy_from_slice(body),
        };
        tx.send(&envelope).await.unwrap();
        let reply: Envelope = rx.recv().await.unwrap();
        assert_eq!((reply.kind, reply.id), (2, id as u64));
        // The first kind of reply is a failure.
        assert_eq!(reply.body[0], 0);
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        assert!(text.contains(problem), "{text}");
    }
}

/// Guards against an answer that closes the connection because it does not fit into a frame.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_is_too_long_is_refused() {
    let server = serve(Scripted::at(1), LOCAL).await;
    let client = client(&[server.address()]);
    let error = client.audit(0, 10_000).await.unwrap_err();
    assert!(error.current_context().to_string().contains("at most"));
    assert_eq!(client.versions().await.unwrap(), ["v1"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relay_reports_the_age_of_its_knowledge() {
    let port = Scripted::at(1);
    let server = serve(Relay::start(port.clone()), LOCAL).await;
    let client = client(&[server.address()]);
    until(&client, |v| v.confirmed_at.is_some()).await;
    let known_at = port.0.borrow().confirmed_at.unwrap();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    // Nothing was confirmed to the relay meanwhile. The client may count a little less.
    let confirmed_at = client.watch().borrow().confirmed_at.unwrap();
    assert!(confirmed_at <= known_at + Duration::from_millis(1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relay_gathers_renewals_and_answers_each_agent() {
    let relay = Relay::start(Scripted::at(1));
    let renewal = |host: u32| lift_state::LeaseRenewal {
        location: lift_types::Location {
            region: String::from("r1"),
            failure_domain: String::from("d1"),
            host,
        },
        incarnation: u64::from(host),
        serving: None,
    };
    let replies = futures_util::future::join_all((0..50).map(|h| relay.renew(renewal(h)))).await;
    for (host, reply) in replies.into_iter().enumerate() {
        match reply {
            Ok(lift_state::LeaseReply::Renewed { valid_for }) => {
                assert_eq!(valid_for.as_secs(), host as u64);
            }
            Ok(other) => panic!("{other:?}"),
            Err(error) => {
                assert_eq!(host, 0);
                assert!(error.current_context().is_missing());
            }
        }
    }
}
