//! Runs the request experiment.

use std::{sync, time};

use crate::{
    bench_error, requests_caller, requests_claims, requests_fleet, requests_load, requests_options,
    requests_report, requests_role, requests_tally,
};

/// Worker threads of the callers.
const CALLER_THREADS: usize = 3;

/// One in this number of requests goes straight to an engine.
const DIRECT_EVERY: u64 = 8;

/// Time beyond the run in which it must end.
const GRACE: time::Duration = time::Duration::from_secs(60);

type Result<T> = std::result::Result<T, error_stack::Report<bench_error::BenchError>>;
type Fleet = sync::Arc<tokio::sync::RwLock<requests_fleet::RequestsFleet>>;

/// Measures requests through entries and agents to stand-ins on loopback.
///
/// # Errors
///
/// Returns an error where an option is not valid, a part can't be started, or the run does
/// not end in its time.
pub async fn run_requests(
    options: &requests_options::RequestsOptions,
) -> Result<requests_report::RequestsReport> {
    options.check()?;
    let limit = time::Duration::from_secs(options.seconds) + GRACE;
    let run = tokio::time::timeout(limit, run(options.clone()));
    run.await.unwrap_or_else(|_| {
        let seconds = limit.as_secs();
        Err(error_stack::Report::new(bench_error::BenchError::Timeout {
            seconds,
        }))
    })
}

async fn run(
    options: requests_options::RequestsOptions,
) -> Result<requests_report::RequestsReport> {
    let fleet = requests_fleet::RequestsFleet::start(&options).await?;
    let callers = requests_role::RequestsRole::start("req-callers", CALLER_THREADS)?;
    let handle = callers.handle().ok_or(bench_error::BenchError::Start)?;
    // The last engine has no fault, so the direct way stays comparable.
    let engine = fleet.models.last().map(|host| host.backend.addr());
    let caller = sync::Arc::new(requests_caller::RequestsCaller {
        client: requests_caller::RequestsCaller::client(),
        balancer: sync::Arc::clone(&fleet.balancer),
        engine: engine.ok_or(bench_error::BenchError::Start)?,
        tally: requests_tally::RequestsTally::new().ok_or(bench_error::BenchError::Start)?,
        seed: options.seed,
    });
    let fleet: Fleet = sync::Arc::new(tokio::sync::RwLock::new(fleet));
    let cpu_before = fleet.read().await.entry_cpu_us();
    let faults = tokio::spawn(cause_faults(sync::Arc::clone(&fleet), options.clone()));
    let length = time::Duration::from_secs(options.seconds);
    let load = requests_load::RequestsLoad {
        rate: options.rate,
        length,
    };
    let started = time::Instant::now();
    let send = sender(
        sync::Arc::clone(&caller),
        sync::Arc::clone(&fleet),
        options.claim_every,
    );
    load.run(handle, send).await;
    let elapsed = started.elapsed();
    faults.abort();
    let fleet = fleet.read().await;
    let cpu_us = fleet.entry_cpu_us().saturating_sub(cpu_before);
    let counts = caller.tally.total().ok_or(bench_error::BenchError::Start)?;
    let claims =
        requests_claims::RequestsClaims::measure(&fleet.control, &callers, options.seed).await?;
    Ok(report(&options, &fleet, &counts, &claims, elapsed, cpu_us))
}

type Sending = std::pin::Pin<Box<dyn Future<Output = ()> + Send>>;

/// Decides what each request is, by its number.
fn sender(
    caller: sync::Arc<requests_caller::RequestsCaller>,
    fleet: Fleet,
    claim_every: u64,
) -> impl Fn(u64, time::Instant) -> Sending + Send + Sync {
    move |request, due| {
        let caller = sync::Arc::clone(&caller);
        if request % DIRECT_EVERY == 0 {
            return Box::pin(async move { caller.direct(request, due).await });
        }
        if claim_every > 0 && request % claim_every == 1 {
            let fleet = sync::Arc::clone(&fleet);
            return Box::pin(async move {
                let runs = |key: &str| fleet.try_read().map_or(0, |fleet| fleet.runs(key));
                caller.release(request, due, &runs).await;
            });
        }
        Box::pin(async move { caller.chat(request, due).await })
    }
}

/// Causes the fault a third and two thirds into the run.
async fn cause_faults(fleet: Fleet, options: requests_options::RequestsOptions) {
    let third = time::Duration::from_secs(options.seconds) / 3;
    for step in 0..2 {
        tokio::time::sleep(third).await;
        fleet.write().await.cause(options.fault, step).await;
    }
}

fn report(
    options: &requests_options::RequestsOptions,
    fleet: &requests_fleet::RequestsFleet,
    counts: &requests_tally::RequestsCounts,
    claims: &requests_claims::RequestsClaims,
    elapsed: time::Duration,
    cpu_us: u64,
) -> requests_report::RequestsReport {
    let quantile = |h: &hdrhistogram::Histogram<u64>, q| h.value_at_quantile(q);
    let (p50_us, p99_us) = (
        quantile(&counts.through, 0.5),
        quantile(&counts.through, 0.99),
    );
    let (direct_p50_us, direct_p99_us) = (
        quantile(&counts.direct, 0.5),
        quantile(&counts.direct, 0.99),
    );
    let runs: Vec<_> = counts
        .keys
        .iter()
        .map(|(key, is_answered)| (fleet.runs(key), *is_answered))
        .collect();
    let double_runs = runs.iter().filter(|(runs, _)| *runs > 1).count() as u64;
    let unrun = runs
        .iter()
        .filter(|(runs, is_answered)| *is_answered && *runs == 0);
    let through = counts.through.len() + counts.releases.len();
    requests_report::RequestsReport {
        entries: options.entries,
        replicas: options.replicas,
        fault: options.fault,
        seed: options.seed,
        rps: counts.through.len() as f64 / elapsed.as_secs_f64(),
        p50_us,
        p99_us,
        direct_p50_us,
        direct_p99_us,
        added_p50_us: p50_us as i64 - direct_p50_us as i64,
        added_p99_us: p99_us as i64 - direct_p99_us as i64,
        lost: counts.lost + unrun.count() as u64,
        wrong: counts.wrong,
        double_runs,
        false_not_run: counts.false_not_run,
        releases: counts.releases.len(),
        in_doubt: counts.in_doubt,
        release_p99_ms: quantile(&counts.releases, 0.99) as f64 / 1_000.0,
        claims_per_s: claims.per_s,
        claim_p99_ms: claims.p99_ms,
        cpu_us_per_request: cpu_us as f64 / through.max(1) as f64,
        retries: fleet.counts("retry."),
        refusals: fleet.counts("refusal."),
    }
}
