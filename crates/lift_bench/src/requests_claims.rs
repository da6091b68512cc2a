//! Claims per second of the request experiment.

use std::{sync, sync::atomic, time};

use lift_rpc::ControlPort as _;

use crate::{bench_error, requests_control, requests_role};

/// Claims in progress at once. They are gathered into few synced log entries.
const IN_PROGRESS: usize = 512;

/// Length of the run.
const LENGTH: time::Duration = time::Duration::from_secs(2);

/// Clients, as many as a small site has entries.
const CLIENTS: usize = 3;

/// Claims that were answered, in a run of [`LENGTH`].
#[derive(Clone, Debug)]
pub(crate) struct RequestsClaims {
    pub(crate) per_s: f64,
    pub(crate) p99_ms: f64,
}

impl RequestsClaims {
    /// Makes new claims as fast as they are answered.
    pub(crate) async fn measure(
        control: &sync::Arc<requests_control::RequestsControl>,
        role: &requests_role::RequestsRole,
        seed: u64,
    ) -> Result<Self, error_stack::Report<bench_error::BenchError>> {
        let control = sync::Arc::clone(control);
        let latencies = role.run(claim_all(control, seed)).await??;
        let mut all =
            hdrhistogram::Histogram::<u64>::new(3).map_err(|_| bench_error::BenchError::Start)?;
        for latency in &latencies {
            let _ = all.record(*latency);
        }
        Ok(Self {
            per_s: latencies.len() as f64 / LENGTH.as_secs_f64(),
            p99_ms: all.value_at_quantile(0.99) as f64 / 1_000.0,
        })
    }
}

async fn claim_all(
    control: sync::Arc<requests_control::RequestsControl>,
    seed: u64,
) -> Result<Vec<u64>, error_stack::Report<bench_error::BenchError>> {
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let client = control.client()?;
        requests_control::wait_for_services(client.as_ref()).await?;
        clients.push(client);
    }
    let next = sync::Arc::new(atomic::AtomicU64::new(0));
    let ends_at = time::Instant::now() + LENGTH;
    let mut workers = tokio::task::JoinSet::new();
    for number in 0..IN_PROGRESS {
        let client = sync::Arc::clone(&clients[number % CLIENTS]);
        let next = sync::Arc::clone(&next);
        workers.spawn(async move {
            let mut latencies = Vec::new();
            while time::Instant::now() < ends_at {
                let number = next.fetch_add(1, atomic::Ordering::Relaxed);
                let started = time::Instant::now();
                if client.claim(claim(seed, number)).await.is_ok() {
                    latencies.push(started.elapsed().as_micros() as u64);
                }
            }
            latencies
        });
    }
    Ok(workers.join_all().await.concat())
}

fn claim(seed: u64, number: u64) -> lift_state::ClaimRequest {
    let key = format!("claim-{seed}-{number}");
    lift_state::ClaimRequest {
        request_hash: lift_types::ChunkHash::of(key.as_bytes()),
        key: lift_state::ClaimKey {
            workspace: String::from("depot"),
            service: String::from("ledger"),
            key,
        },
        host: 1,
        incarnation: 1,
    }
}
