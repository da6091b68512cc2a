//! The burst experiment.

use std::time;

use rand::{SeedableRng as _, seq::SliceRandom as _};

use crate::{
    bench_error, burst_fault, burst_fleet, burst_live, burst_options, burst_report, burst_traffic,
};

/// Time of live requests before the burst, from which the undisturbed p99 comes.
const QUIET: time::Duration = time::Duration::from_secs(4);

/// Part of the lower bound after which a fault starts, as one in this number.
const FAULT_AFTER: u32 = 3;

/// Longest time of a run as a multiple of the wanted time.
const LIMIT_FACTOR: u64 = 6;

/// Under the fault `corrupt` one read of the origin in this number is corrupt.
const CORRUPT_ONE_IN: u64 = 20;

/// Hosts that fail are one in this number.
const FAILING: usize = 10;

type Result<T> = std::result::Result<T, error_stack::Report<bench_error::BenchError>>;

/// Runs a burst and, if asked for, its baseline over the same links.
///
/// # Errors
///
/// Returns an error where an option is not valid, a part can't be started, or the burst does
/// not end within six times the wanted time.
pub async fn run_burst(options: &burst_options::BurstOptions) -> Result<burst_report::BurstReport> {
    options.check()?;
    let limit = time::Duration::from_millis(options.wanted_ms * LIMIT_FACTOR);
    let timed_out = || {
        let seconds = limit.as_secs();
        error_stack::Report::new(bench_error::BenchError::Timeout { seconds })
    };
    let started = tokio::time::timeout(limit, burst_fleet::BurstFleet::start(options)).await;
    let mut fleet = started.map_err(|_| timed_out())??;
    fleet.live.set_phase(burst_live::Phase::Before);
    tokio::time::sleep(QUIET).await;
    let measured = tokio::time::timeout(limit, measure(options, &mut fleet)).await;
    let mut report = match measured {
        Ok(report) => report?,
        Err(_) => {
            fleet.stop().await;
            return Err(timed_out());
        }
    };
    if options.baseline_part > 0 {
        measure_baseline(options, &fleet, &mut report).await;
    }
    fleet.stop().await;
    Ok(report)
}

async fn measure(
    options: &burst_options::BurstOptions,
    fleet: &mut burst_fleet::BurstFleet,
) -> Result<burst_report::BurstReport> {
    let second = burst_fleet::weights(options.seed + 1, options.bytes as usize);
    fleet.publish("second", second.clone()).await?;
    let before = burst_traffic::BurstTraffic::of(fleet, options.regions);
    if options.fault == burst_fault::BurstFault::Corrupt {
        let one_in = CORRUPT_ONE_IN;
        let fault = lift_standin::OriginFault::Corrupt { one_in };
        fleet.origin.set_fault(fault);
    }
    fleet.live.set_phase(burst_live::Phase::During);
    let mut started_at = time::Instant::now();
    set_version(fleet, "second");
    let mut last = "second";
    let (hosts, regions) = (u64::from(options.hosts), u64::from(options.regions));
    let bound = fleet.rates.lower_bound(hosts, regions, options.bytes);
    tokio::time::sleep(bound / FAULT_AFTER).await;
    match options.fault {
        burst_fault::BurstFault::None | burst_fault::BurstFault::Corrupt => {}
        burst_fault::BurstFault::Stall => {
            for host in failing(options) {
                fleet.links.stall_open(fleet.hosts[host].ip);
            }
        }
        burst_fault::BurstFault::HostLoss => {
            for host in failing(options) {
                fleet.lose(host);
            }
        }
        burst_fault::BurstFault::Supersede => {
            publish_third(options, fleet, &second).await?;
            started_at = time::Instant::now();
            set_version(fleet, "third");
            last = "third";
        }
    }
    let served = fleet.wait_serving(last).await?;
    let after = burst_traffic::BurstTraffic::of(fleet, options.regions);
    let traffic = after.since(&before);
    let live = fleet.live.figures();
    let ms_until = |at: Option<&time::Instant>| {
        at.map_or(0, |at| {
            at.saturating_duration_since(started_at).as_millis() as u64
        })
    };
    let time_to_all_ms = ms_until(served.last());
    let lower_bound_ms = bound.as_millis() as u64;
    let copies = |bytes: u64| bytes as f64 / options.bytes as f64;
    Ok(burst_report::BurstReport {
        hosts: options.hosts,
        regions: options.regions,
        bytes: options.bytes,
        policy: options.policy,
        fault: options.fault,
        seed: options.seed,
        served: served.len() as u32,
        time_to_half_ms: ms_until(served.get(served.len().saturating_sub(1) / 2)),
        time_to_all_ms,
        lower_bound_ms,
        ratio: time_to_all_ms as f64 / lower_bound_ms as f64,
        origin_copies: copies(traffic.origin),
        max_host_link_copies: copies(traffic.max_host()),
        max_region_link_copies: copies(traffic.max_region()),
        baseline_time_ms: 0,
        baseline_origin_copies: 0.0,
        baseline_part: options.baseline_part,
        live_p99_before_ms: live.p99_before_ms,
        live_p99_during_ms: live.p99_during_ms,
        live_p99_ratio: live.p99_during_ms / live.p99_before_ms,
        live_answers: live.answers,
        live_not_run: live.not_run,
        wrong_answers: live.wrong,
        mixed_answers: live.mixed,
        counters: fleet.counters.snapshot(),
    })
}

async fn measure_baseline(
    options: &burst_options::BurstOptions,
    fleet: &burst_fleet::BurstFleet,
    report: &mut burst_report::BurstReport,
) {
    let part = options.bytes / options.baseline_part;
    let bytes_before = fleet.origin.bytes_read();
    let started_at = time::Instant::now();
    fleet.read_from_origin("second", part).await;
    let elapsed = started_at.elapsed().as_millis() as u64;
    let bytes = (fleet.origin.bytes_read() - bytes_before) * options.baseline_part;
    report.baseline_time_ms = elapsed * options.baseline_part;
    report.baseline_origin_copies = bytes as f64 / options.bytes as f64;
}

/// Publishes a version whose second half is that of the superseded one.
async fn publish_third(
    options: &burst_options::BurstOptions,
    fleet: &burst_fleet::BurstFleet,
    second: &bytes::Bytes,
) -> Result<()> {
    let mut third = burst_fleet::weights(options.seed + 2, options.bytes as usize).to_vec();
    let half = third.len() / 2;
    third[half..].copy_from_slice(&second[half..]);
    fleet.publish("third", bytes::Bytes::from(third)).await
}

fn set_version(fleet: &burst_fleet::BurstFleet, version: &str) {
    fleet
        .control
        .set_policy(|policy| policy.default.version = Some(String::from(version)));
}

/// Hosts that fail: a tenth of all, at least one.
fn failing(options: &burst_options::BurstOptions) -> Vec<usize> {
    let mut hosts: Vec<usize> = (0..options.hosts as usize).collect();
    hosts.shuffle(&mut rand::rngs::SmallRng::seed_from_u64(options.seed));
    hosts.truncate((hosts.len() / FAILING).max(1));
    hosts
}
