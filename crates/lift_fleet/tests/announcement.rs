//! Announcements with odd fields.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{net, time};

use lift_fleet::{Announcement, AnnouncementError, BackendState, LoadedModel};

fn announcement() -> Announcement {
    Announcement {
        id: String::from("i-7"),
        started_at: time::SystemTime::UNIX_EPOCH,
        sequence: 0,
        service: String::from("ledger"),
        address: net::SocketAddr::from(([10, 0, 0, 1], 8000)),
        failure_domain: String::from("a"),
        slots: 0,
        state: BackendState::Ready,
        warmup_left: time::Duration::ZERO,
        models: vec![LoadedModel {
            name: String::from("m"),
            version: 1,
        }],
    }
}

fn changed(change: impl FnOnce(&mut Announcement)) -> Result<(), AnnouncementError> {
    let mut announcement = announcement();
    change(&mut announcement);
    announcement.check()
}

#[test]
fn announcements_that_could_displace_or_harm_others_are_invalid() {
    assert_eq!(announcement().check(), Ok(()));
    for id in ["", "a b", "a\nb", "\u{e4}"] {
        let checked = changed(|a| a.id = String::from(id));
        assert_eq!(checked, Err(AnnouncementError::Id), "{id:?}");
    }
    let long = "x".repeat(257);
    assert!(changed(|a| a.id = long.clone()).is_err());
    assert!(changed(|a| a.service = long.clone()).is_err());
    assert!(changed(|a| a.service.clear()).is_err());
    assert!(changed(|a| a.failure_domain.clear()).is_err());
    assert!(changed(|a| a.models[0].name = long).is_err());
    assert!(changed(|a| a.models = vec![a.models[0].clone(); 65]).is_err());
    for address in ["10.0.0.1:0", "0.0.0.0:80", "[::]:80", "224.0.0.1:80"] {
        let checked = changed(|a| a.address = address.parse().unwrap());
        assert_eq!(checked, Err(AnnouncementError::Address), "{address}");
    }
}

#[test]
fn numbers_that_no_server_counts_to_are_invalid() {
    let seconds = time::Duration::from_secs;
    assert!(changed(|a| a.slots = 65_536).is_ok());
    assert!(changed(|a| a.slots = u32::MAX).is_err());
    assert!(changed(|a| a.sequence = (1 << 53) - 1).is_ok());
    assert!(changed(|a| a.sequence = 1 << 53).is_err());
    assert!(changed(|a| a.models[0].version = u64::MAX).is_err());
    assert!(changed(|a| a.started_at += seconds(1_800_000_000)).is_ok());
    assert!(changed(|a| a.started_at -= seconds(1)).is_err());
    // The start in microseconds, read as milliseconds.
    assert!(changed(|a| a.started_at += seconds(1_800_000_000_000)).is_err());
}
