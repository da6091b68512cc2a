//! Whole requests that crash backend servers, over real connections.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time;

use support::{Backend, Fleet};

const PARTS: &str = "shared,caller";

/// Time between two calls. Ends of servers that are closer together count once.
const SPACING: time::Duration = time::Duration::from_millis(120);

async fn start_backends(count: usize) -> Vec<Backend> {
    let mut backends = Vec::new();
    for _ in 0..count {
        backends.push(Backend::start_crashing_on("deadly", "").await);
    }
    backends
}

/// Sends the deadly request again and again, each time under another identifier, and a sound one
/// after each. Returns the statuses of the former; 0 stands for an answer that broke off.
async fn call_in_turn(fleet: &Fleet, route: &str, parts: &str) -> Vec<u16> {
    let deadly_route = format!("{route}/deadly");
    let mut statuses = Vec::new();
    for i in 0..6 {
        let id = format!("deadly-{i}");
        let result = fleet.call_with_parts(&deadly_route, &id, parts).await;
        statuses.push(result.map_or(0, |(status, _)| status));
        let id = format!("sound-{i}");
        let sound_route = format!("idempotent/sound-{i}");
        let sound = fleet.call_with_parts(&sound_route, &id, parts).await;
        assert_eq!(sound.map(|(status, _)| status), Ok(200), "{i}");
        tokio::time::sleep(SPACING).await;
    }
    statuses
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_each_backend_server_is_refused_when_it_comes_again() {
    // Guards against one request, with a prompt or without, that ends server after server.
    let cases = [
        (140, "idempotent", PARTS),
        (141, "idempotent", ""),
        (142, "stream", PARTS),
        (143, "non_idempotent", ""),
    ];
    for (number, route, parts) in cases {
        let backends = start_backends(8).await;
        let announced: Vec<&Backend> = backends.iter().collect();
        let fleet = Fleet::start(number, &announced).await;
        let statuses = call_in_turn(&fleet, route, parts).await;
        let ended = backends.iter().filter(|backend| backend.has_ended());
        assert_eq!(ended.count(), 3, "{route} {parts:?} {statuses:?}");
        assert_eq!(statuses[3..], [503; 3], "{route} {parts:?} {statuses:?}");
    }
}
