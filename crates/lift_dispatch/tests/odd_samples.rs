//! Load reports and services with numbers near the end of their range.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{net, sync, time};

use lift_dispatch::{
    Backend, BackendLoad, BackendSelector, GatewayShares, LoadSample, SelectionError,
    WeightsRequirement,
};

fn load(now: time::Instant, requests: u32, queued_prompts: u32) -> BackendLoad {
    let mut load = BackendLoad::default();
    load.record_sample(LoadSample {
        requests,
        queued_prompts,
        models: Vec::new(),
        link_percent: Some(100),
        is_loading: false,
        random: 0.5,
        received_at: now,
    });
    load
}

/// Selects the only server, which has 8 slots and this load.
fn select(
    now: time::Instant,
    load: &BackendLoad,
    prefill_time: time::Duration,
) -> Result<(), SelectionError> {
    let backend = Backend {
        id: String::from("i-1"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        region: None,
        failure_domain: String::from("d"),
        slots: 8,
        models: Vec::new(),
        is_silent: false,
    };
    let selector = BackendSelector {
        now,
        region: "r",
        distances: None,
        balance: None,
        gateways: &GatewayShares::default(),
        weights: &WeightsRequirement::default(),
        queue_share: 0.2,
        prefill_time,
        target_latency: time::Duration::from_secs(1),
        allowed_regions: &lift_fleet::AllowedRegions::default(),
        tried: &[],
    };
    let with_load = |_: &Backend, score: lift_dispatch::ScoreFn<'_>| score(load);
    let selected = selector.select(&[sync::Arc::new(backend)], &with_load, 0);
    selected.map(|_| ())
}

#[test]
fn a_prompt_that_is_read_for_ever_ends_no_selection() {
    // Guards against a service with an odd rate, whose requests end without an answer.
    let now = time::Instant::now();
    let for_ever = time::Duration::MAX;
    assert_eq!(select(now, &load(now, 0, 0), for_ever), Ok(()));
    let reading = load(now, 1, 1);
    assert_eq!(select(now, &reading, for_ever), Err(SelectionError::Full));
}

#[test]
fn a_server_that_reports_too_many_requests_is_full() {
    // Guards against a sum that overflows, by which the fullest server looks empty.
    let now = time::Instant::now();
    let mut load = load(now, u32::MAX, u32::MAX);
    load.start_request(now);
    assert!(load.estimate_requests(now, 3) >= u32::MAX - 1);
    assert_eq!(load.prompts_ahead(now), u32::MAX);
    for prefill_time in [time::Duration::ZERO, time::Duration::MAX] {
        let selected = select(now, &load, prefill_time);
        assert_eq!(selected, Err(SelectionError::Full));
    }
}
