//! Parts of prompts that crash backend servers, over real connections.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time;

use support::{Backend, Fleet, Reply};

const DEADLY: &str = "shared,caller,deadly";
const SOUND: &str = "shared,caller,sound";

/// Calls with the deadly part in turn, and with sound parts after each. Returns the statuses of the
/// former; 0 stands for an answer that broke off.
async fn call_in_turn(fleet: &Fleet, route: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for i in 0..5 {
        let id = format!("deadly-{i}");
        // No two requests with the part are alike.
        let route = format!("{route}/{i}");
        let result = fleet.call_with_parts(&route, &id, DEADLY).await;
        statuses.push(result.map_or(0, |(status, _)| status));
        let id = format!("sound-{i}");
        let sound = fleet.call_with_parts("idempotent", &id, SOUND).await;
        assert_eq!(sound.map(|(status, _)| status), Ok(200), "{i}");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    statuses
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_backend_servers_is_refused_and_its_neighbours_are_served() {
    // Guards against requests that end one backend server after the other, each of them two, and
    // against the refusal of requests that share the other parts.
    // The beginning of the stream has no length, and ends in its first event.
    let stream = "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: 1\r\n\r\nid: 1\nda";
    let routes = [("idempotent", ""), ("stream", stream)];
    for (i, (route, beginning)) in routes.into_iter().enumerate() {
        let mut backends = Vec::new();
        for _ in 0..8 {
            backends.push(Backend::start_crashing_on("deadly", beginning).await);
        }
        let announced: Vec<&Backend> = backends.iter().collect();
        let fleet = Fleet::start(130 + i as u8, &announced).await;
        let statuses = call_in_turn(&fleet, route).await;
        assert_eq!(statuses[2..], [503; 3], "{route} {statuses:?}");
        let ended = backends.iter().filter(|backend| backend.has_ended());
        assert_eq!(ended.count(), 3, "{route}");
        assert_eq!(fleet.counters.value("decline.quarantined"), 3, "{route}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_part_behind_the_deadly_one_is_served() {
    // Guards against the refusal of all requests with a sound part that came into use together with
    // the deadly one, and stands behind it in each prompt (review/5).
    let mut backends = Vec::new();
    for _ in 0..8 {
        backends.push(Backend::start_crashing_on("deadly", "").await);
    }
    let announced: Vec<&Backend> = backends.iter().collect();
    let fleet = Fleet::start(139, &announced).await;
    let mut statuses = Vec::new();
    for (i, parts) in ["deadly,new", "deadly,new", "deadly,new", "deadly,next"]
        .into_iter()
        .enumerate()
    {
        let id = format!("deadly-{i}");
        let route = format!("idempotent/{i}");
        let result = fleet.call_with_parts(&route, &id, parts).await;
        statuses.push(result.map_or(0, |(status, _)| status));
        let parts = if i < 2 { "other" } else { "new" };
        let id = format!("sound-{i}");
        let sound = fleet.call_with_parts("idempotent", &id, parts).await;
        assert_eq!(sound.map(|(status, _)| status), Ok(200), "{parts}");
        tokio::time::sleep(time::Duration::from_millis(110)).await;
    }
    assert_eq!(statuses[2..], [503; 2], "{statuses:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_connections_of_running_backend_servers_are_no_evidence() {
    // Guards against the quarantine of sound parts when connections are reset.
    let mut backends = Vec::new();
    for _ in 0..4 {
        backends.push(Backend::start(&[Reply::Break, Reply::Break, Reply::Break]).await);
    }
    let announced: Vec<&Backend> = backends.iter().collect();
    let fleet = Fleet::start(132, &announced).await;
    for i in 0..12 {
        let id = format!("r{i}");
        let result = fleet.call_with_parts("idempotent", &id, SOUND).await;
        assert_ne!(result.map(|(status, _)| status), Ok(503), "{i}");
        let id = format!("other-{i}");
        let _ = fleet.call_with_parts("idempotent", &id, "other").await;
        tokio::time::sleep(time::Duration::from_millis(110)).await;
    }
    assert_eq!(fleet.counters.value("gateway.part_crashes"), 0);
}
