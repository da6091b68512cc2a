//! Guards against a member that fails on bytes from another process.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use rand::RngExt as _;
use tokio::io::AsyncWriteExt as _;

/// Bytes of one frame, without a length of their own.
struct Raw(Vec<u8>);

impl serde::Serialize for Raw {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use serde::ser::SerializeTuple as _;
        let mut tuple = serializer.serialize_tuple(self.0.len())?;
        for byte in &self.0 {
            tuple.serialize_element(byte)?;
        }
        tuple.end()
    }
}

/// Guards against frames that stop the member or are taken for messages: random bytes, with
/// and without the key, and a member's first frame that is cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn any_bytes_at_the_port_leave_the_member_working() {
    let cluster = common::Cluster::start(1).await;
    let address = cluster.members[0].address();
    let keys = lift_wire::LinkKeys::new(lift_wire::LinkKey::new(1, [7; 32]));
    for _ in 0..200 {
        let length = rand::rng().random_range(0..64);
        let mut buf: Vec<u8> = (0..length).map(|_| rand::rng().random()).collect();
        let mut plain = tokio::net::TcpStream::connect(address).await.unwrap();
        // The member may close the connection while it is written to.
        let _ = plain.write_all(&buf).await;
        let stream = tokio::net::TcpStream::connect(address).await.unwrap();
        let purpose = lift_wire::Purpose::ControlPeer;
        let (_, mut writer) = lift_wire::connect(stream, &keys, purpose).await.unwrap();
        if let Some(first) = buf.first_mut() {
            // Mostly the number of a known frame.
            *first %= 8;
        }
        let _ = writer.send(&Raw(buf)).await;
    }
    cluster.commit("still works").await;
    cluster.converge().await;
}
