//! Guards against sessions between processes that do not share a key, version or purpose,
//! and against damaged frames being delivered.

#![allow(clippy::unwrap_used)]

use tokio::{io, net};

use io::{AsyncReadExt as _, AsyncWriteExt as _};
use lift_wire::{LinkKey, LinkKeys, Purpose, WireError};

fn keys(id: u8, secret: u8) -> LinkKeys {
    LinkKeys::new(LinkKey::new(id, [secret; 32]))
}

async fn pair() -> (net::TcpStream, net::TcpStream) {
    let listener = net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let connect = net::TcpStream::connect(listener.local_addr().unwrap());
    let (client, server) = tokio::join!(connect, listener.accept());
    (client.unwrap(), server.unwrap().0)
}

#[tokio::test]
async fn messages_arrive_in_order_both_ways() {
    let (client, server) = pair().await;
    let (client_keys, server_keys) = (keys(1, 7), keys(1, 7));
    let (a, b) = tokio::join!(
        lift_wire::connect(client, &client_keys, Purpose::Calls),
        lift_wire::accept(server, &server_keys, Purpose::Calls),
    );
    let ((mut client_rx, mut client_tx), (mut server_rx, mut server_tx)) = (a.unwrap(), b.unwrap());
    for i in 0..100_u32 {
        client_tx.send(&i).await.unwrap();
        assert_eq!(server_rx.recv::<u32>().await.unwrap(), i);
        server_tx.send(&(i + 1)).await.unwrap();
        assert_eq!(client_rx.recv::<u32>().await.unwrap(), i + 1);
    }
}

#[tokio::test]
async fn a_wrong_secret_is_refused_by_both_ends() {
    let (client, server) = pair().await;
    let (client_keys, server_keys) = (keys(1, 7), keys(1, 8));
    let (a, b) = tokio::join!(
        lift_wire::connect(client, &client_keys, Purpose::Calls),
        lift_wire::accept(server, &server_keys, Purpose::Calls),
    );
    assert_eq!(a.unwrap_err().current_context(), &WireError::Proof);
    assert!(b.is_err());
}

#[tokio::test]
async fn an_old_key_is_accepted_during_rotation_and_an_unknown_one_is_not() {
    let server_keys = keys(2, 9).accept(LinkKey::new(1, [7; 32]));
    for (client_keys, expected) in [(keys(1, 7), true), (keys(2, 9), true), (keys(3, 7), false)] {
        let (client, server) = pair().await;
        let (a, b) = tokio::join!(
            lift_wire::connect(client, &client_keys, Purpose::Calls),
            lift_wire::accept(server, &server_keys, Purpose::Calls),
        );
        assert_eq!(a.is_ok() && b.is_ok(), expected);
    }
}

#[tokio::test]
async fn another_purpose_is_refused() {
    let (client, server) = pair().await;
    let keys = keys(1, 7);
    let (_, b) = tokio::join!(
        lift_wire::connect(client, &keys, Purpose::Chunks),
        lift_wire::accept(server, &keys, Purpose::Calls),
    );
    assert_eq!(
        b.unwrap_err().current_context(),
        &WireError::Purpose {
            found: Purpose::Chunks
        }
    );
}

#[tokio::test]
async fn a_changed_byte_closes_the_connection() {
    let (client, middle_in) = pair().await;
    let (mut middle_out, server) = pair().await;
    let relay = tokio::spawn(async move {
        let (mut from_client, mut to_client) = middle_in.into_split();
        let (mut from_server, mut to_server) = middle_out.split();
        let to_server = async {
            let mut buf = vec![0; 4096];
            let mut passed = 0;
            loop {
                let n = from_client.read(&mut buf).await.unwrap_or(0);
                if n == 0 {
                    break;
                }
                // The handshake is short; everything after its 200th byte is a frame.
                if passed + n > 200 {
                    buf[n - 1] ^= 1;
                }
                passed += n;
                if to_server.write_all(&buf[..n]).await.is_err() {
                    break;
                }
            }
        };
        let to_client = async {
            io::copy(&mut from_server, &mut to_client)
                .await
                .unwrap_or(0)
        };
        tokio::join!(to_server, to_client)
    });
    let keys = keys(1, 7);
    let (a, b) = tokio::join!(
        lift_wire::connect(client, &keys, Purpose::Calls),
        lift_wire::accept(server, &keys, Purpose::Calls),
    );
    let ((_rx, mut tx), (mut rx, _tx)) = (a.unwrap(), b.unwrap());
    tx.send(&vec![1_u8; 300]).await.unwrap();
    let error = rx.recv::<Vec<u8>>().await.unwrap_err();
    assert_eq!(error.current_context(), &WireError::Checksum);
    relay.abort();
}
