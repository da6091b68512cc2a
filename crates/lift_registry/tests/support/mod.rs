//! Control members and a node that follows them, for the tests of this crate.

// Each test file uses a part of the support.
#![allow(dead_code, unused_imports)]

mod codec;
mod fleet;
mod observer;

use std::{net, time};

use lift_registry::ControlMember;

pub(crate) use fleet::Fleet;
pub(crate) use observer::Observer;

pub(crate) const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Sends a document to the members in turn, as an operator does, until one accepts it.
pub(crate) async fn replace(members: &[&ControlMember], version: u64) {
    let sending = async {
        loop {
            for member in members {
                let text = bytes::Bytes::from(version.to_string());
                if member.control().replace(text).await.is_ok() {
                    return;
                }
            }
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    };
    let sent = tokio::time::timeout(WAIT_TIMEOUT, sending).await;
    assert!(sent.is_ok(), "document {version} was not accepted");
}

/// Returns the document in force from the first member that can confirm it.
pub(crate) async fn read(members: &[&ControlMember]) -> String {
    let reading = async {
        loop {
            for member in members {
                if let Ok(Some(text)) = member.control().text().await {
                    return String::from_utf8_lossy(&text).into_owned();
                }
            }
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, reading).await.unwrap()
}

pub(crate) fn announcement(sequence: u64) -> lift_fleet::Announcement {
    lift_fleet::Announcement {
        id: String::from("s"),
        started_at: time::SystemTime::UNIX_EPOCH,
        sequence,
        service: String::from("ledger"),
        address: net::SocketAddr::from(([10, 0, 0, 1], 8000)),
        failure_domain: String::from("d"),
        slots: 6,
        state: lift_fleet::BackendState::Ready,
        warmup_left: time::Duration::ZERO,
        models: Vec::new(),
    }
}
