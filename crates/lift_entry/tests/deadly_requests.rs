//! Guards against a request that ends one backend server after the other, and against the refusal
//! of sound requests because of it.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod ending_server;
mod fleet;

use std::{sync, sync::atomic, time};

/// Hosts of a service.
const HOSTS: u32 = 12;

/// Ends after which the request must stay away from servers.
const ENDS: u32 = 3;

/// Times that the request may reach servers after that.
const MAX_FURTHER: u32 = 3;

/// Times that the caller sends the request.
const ROUNDS: u32 = 15;

/// Pause of the caller between two sends.
const PAUSE: time::Duration = time::Duration::from_millis(120);

/// Times that the caller sends the request where the servers come back in between.
const SLOW_ROUNDS: u32 = 8;

/// Pause in which a server that has ended is back.
const RESTART_PAUSE: time::Duration = time::Duration::from_millis(900);

struct Service {
    fleet: fleet::Fleet,
    counts: sync::Arc<ending_server::Counts>,
    _agents: Vec<lift_serve::RequestServer>,
}

impl Service {
    async fn start(hosts: u32) -> Self {
        Self::with_entries(1, hosts).await
    }

    async fn with_entries(entries: u32, hosts: u32) -> Self {
        let fleet = fleet::Fleet::start(entries).await;
        let counts = sync::Arc::new(ending_server::Counts::default());
        let mut agents = Vec::new();
        for host in 1..=hosts {
            let addr = ending_server::start(&counts).await;
            let backend = lift_border::HttpBackend::new(addr, lift_border::EchoCheck::Required);
            let builder = fleet
                .serve_builder(host, 1)
                .backend(sync::Arc::new(backend))
                .service("ledger");
            agents.push(builder.start().await.unwrap());
        }
        fleet.wait_for_agents(hosts as usize).await;
        Self {
            fleet,
            counts,
            _agents: agents,
        }
    }

    async fn lookup(&self, body: &str) -> fleet::Reply {
        self.lookup_at(0, body).await
    }

    async fn lookup_at(&self, entry: usize, body: &str) -> fleet::Reply {
        let path = "/v1/ledger/lookup";
        self.fleet.call_with_body(entry, path, &[], body).await
    }

    async fn release(&self, key: u32, body: &str) -> fleet::Reply {
        let key = format!("truck-{key}");
        let headers = [("idempotency-key", key.as_str())];
        let path = "/v1/ledger/release";
        self.fleet.call_with_body(0, path, &headers, body).await
    }

    /// Sends the deadly request again and again between sound ones. Returns the last reply to it,
    /// and the number of sound requests that were not served.
    async fn send_deadly_lookups(&self) -> (fleet::Reply, u32) {
        let mut last = self.lookup(ending_server::DEADLY).await;
        let mut lost = 0;
        for round in 1..ROUNDS {
            let sound = self.lookup(&format!("sound {round}")).await;
            lost += u32::from(!sound.is_ok());
            tokio::time::sleep(PAUSE).await;
            last = self.lookup(ending_server::DEADLY).await;
        }
        (last, lost)
    }

    fn deadly_runs(&self) -> u32 {
        self.counts.deadly_runs.load(atomic::Ordering::SeqCst)
    }
}

fn assert_refused(reply: &fleet::Reply) {
    let expected = (String::from("not_run"), String::from("quarantined"));
    assert_eq!(
        (reply.status, reply.outcome()),
        (503, expected),
        "{reply:?}"
    );
    assert!(reply.headers.contains_key("retry-after"), "{reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ends_its_servers_does_not_reach_more_than_three_after_the_third() {
    let service = Service::start(HOSTS).await;
    let (last, lost) = service.send_deadly_lookups().await;
    let runs = service.deadly_runs();
    assert!(runs <= ENDS + MAX_FURTHER, "{runs} runs, {lost} lost");
    assert!(runs >= ENDS, "{runs} runs");
    assert_eq!(lost, 0);
    assert_refused(&last);
}

#[tokio::test(flavor = "multi_thread")]
async fn three_requests_that_end_their_servers_at_a_time_do_not_hide_each_other() {
    const REQUESTS: u32 = 3;
    let service = Service::start(HOSTS).await;
    let mut last = Vec::new();
    for round in 0..ROUNDS {
        last.clear();
        for request in 0..REQUESTS {
            let body = format!("{} {request}", ending_server::DEADLY);
            last.push(service.lookup(&body).await);
            service.lookup(&format!("sound {round} {request}")).await;
            tokio::time::sleep(PAUSE).await;
        }
    }
    let runs = service.deadly_runs();
    assert!(runs <= REQUESTS * (ENDS + MAX_FURTHER), "{runs} runs");
    last.iter().for_each(assert_refused);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_of_one_host_does_not_run_a_request_again_that_has_ended_it_three_times() {
    let service = Service::start(1).await;
    let mut last = service.lookup("sound").await;
    for round in 0..SLOW_ROUNDS {
        last = service.lookup(ending_server::DEADLY).await;
        tokio::time::sleep(RESTART_PAUSE).await;
        let sound = service.lookup(&format!("sound {round}")).await;
        assert!(sound.is_ok(), "{sound:?}");
    }
    let runs = service.deadly_runs();
    assert!(runs <= ENDS + MAX_FURTHER, "{runs} runs");
    assert!(runs >= ENDS, "{runs} runs");
    assert_refused(&last);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_beside_which_nothing_is_answered_stays_away_after_it_ended_three_servers() {
    let service = Service::start(1).await;
    for _ in 0..SLOW_ROUNDS {
        service.lookup(ending_server::DEADLY).await;
        tokio::time::sleep(RESTART_PAUSE).await;
    }
    let runs = service.deadly_runs();
    assert!(runs <= ENDS + MAX_FURTHER, "{runs} runs");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claimed_request_that_ends_its_servers_does_not_reach_more_than_three_after_the_third() {
    let service = Service::start(HOSTS).await;
    let mut lost = 0;
    let mut last = service.lookup("sound").await;
    for round in 0..ROUNDS {
        last = service.release(round, ending_server::DEADLY).await;
        let sound = service.lookup(&format!("sound {round}")).await;
        lost += u32::from(!sound.is_ok());
        tokio::time::sleep(PAUSE).await;
    }
    let runs = service.deadly_runs();
    assert!(runs <= ENDS + MAX_FURTHER, "{runs} runs, {lost} lost");
    assert!(runs >= ENDS, "{runs} runs");
    assert_eq!(lost, 0);
    assert_refused(&last);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_comes_at_three_entries_in_turn_stays_away_after_it_ended_three_servers() {
    const ENTRIES: u32 = 3;
    let service = Service::with_entries(ENTRIES, HOSTS).await;
    for round in 0..ROUNDS {
        let entry = (round % ENTRIES) as usize;
        service.lookup_at(entry, ending_server::DEADLY).await;
        service.lookup_at(entry, &format!("sound {round}")).await;
        tokio::time::sleep(PAUSE).await;
    }
    let runs = service.deadly_runs();
    assert!(runs <= ENDS + MAX_FURTHER, "{runs} runs");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_server_ends_once_is_answered_by_another_each_time() {
    let service = Service::start(HOSTS).await;
    for round in 0..SLOW_ROUNDS {
        service.counts.ends_left.store(1, atomic::Ordering::SeqCst);
        let reply = service.lookup(ending_server::DEADLY).await;
        assert!(reply.is_ok(), "round {round}: {reply:?}");
        tokio::time::sleep(RESTART_PAUSE).await;
    }
    assert_eq!(service.deadly_runs(), 2 * SLOW_ROUNDS);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_whose_connection_is_reset_are_not_kept_from_servers() {
    let service = Service::start(HOSTS).await;
    for round in 0..ROUNDS {
        let before = service.counts.resets.load(atomic::Ordering::SeqCst);
        service.lookup(ending_server::RESET).await;
        let after = service.counts.resets.load(atomic::Ordering::SeqCst);
        assert!(after > before, "round {round}");
        let sound = service.lookup(&format!("sound {round}")).await;
        assert!(sound.is_ok(), "{sound:?}");
        tokio::time::sleep(PAUSE / 4).await;
    }
}
