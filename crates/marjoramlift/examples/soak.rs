//! Plays many seeds of the fault soak, a few at the same time, and prints what broke.
//!
//! `cargo run --release -p marjoramlift --example soak -- --program target/release/marjoramlift`

use std::{path, time};

use clap::Parser as _;
use futures_util::StreamExt as _;

/// Loopback networks that are used in turn, from the first one on. Each seed has its own, since
/// the listeners of the one before may still be open.
const NETWORKS: u64 = 20;

/// Plays the fault soak.
#[derive(Debug, clap::Parser)]
struct Args {
    /// Program of the fleet.
    #[arg(long)]
    program: path::PathBuf,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    /// Seconds in which faults come.
    #[arg(long, default_value_t = 20)]
    length: u64,
    /// First loopback network that is used, so that two series don't meet.
    #[arg(long, default_value_t = 100)]
    network: u8,
    /// Plays planned work only, in which no request may end without an answer.
    #[arg(long)]
    planned: bool,
    /// Evacuates and restores a failure domain during faults of gateways and control members.
    #[arg(long, conflicts_with = "planned")]
    evacuations: bool,
    /// Soaks that are played at the same time.
    #[arg(long, default_value_t = 4)]
    jobs: u8,
}

fn main() -> std::process::ExitCode {
    let args = Args::parse();
    let (planned, evacuations) = (args.planned, args.evacuations);
    let play = |seed| {
        let network = args.network + (seed % NETWORKS) as u8;
        let options = lift_soak::SoakOptions {
            seed,
            length: time::Duration::from_secs(args.length),
            program: args.program.clone(),
        };
        async move {
            let played = tokio::task::spawn_blocking(move || {
                play_one(&options, network, planned, evacuations)
            });
            let played = played.await;
            (seed, played.unwrap_or_else(|e| Err(e.to_string())))
        }
    };
    let Ok(runtime) = tokio::runtime::Runtime::new() else {
        return std::process::ExitCode::FAILURE;
    };
    let seeds = args.first..args.first + args.seeds;
    let is_clean = runtime.block_on(async {
        let mut played = futures_util::stream::iter(seeds.map(play))
            .buffer_unordered(usize::from(args.jobs.max(1)));
        let mut is_clean = true;
        while let Some((seed, result)) = played.next().await {
            is_clean &= print(seed, &result);
        }
        is_clean
    });
    match is_clean {
        true => std::process::ExitCode::SUCCESS,
        false => std::process::ExitCode::FAILURE,
    }
}

/// Plays one seed on a runtime of its own, with which its stand-ins end.
fn play_one(
    options: &lift_soak::SoakOptions,
    network: u8,
    planned: bool,
    evacuations: bool,
) -> Result<lift_soak::SoakReport, String> {
    let runtime = tokio::runtime::Runtime::new().map_err(|e| e.to_string())?;
    let played = match (planned, evacuations) {
        (true, _) => runtime.block_on(lift_soak::run_planned(options, network)),
        (false, true) => runtime.block_on(lift_soak::run_evacuations(options, network)),
        (false, false) => runtime.block_on(lift_soak::run(options, network)),
    };
    runtime.shutdown_background();
    played.map_err(|e| e.to_string())
}

/// Prints a result. Returns whether no promise was broken.
fn print(seed: u64, result: &Result<lift_soak::SoakReport, String>) -> bool {
    let report = match result {
        Ok(report) => report,
        Err(error) => {
            println!("seed {seed}: not played: {error}");
            return false;
        }
    };
    let (served, refused, failed) = (report.served, report.refused, report.failed);
    let faults = report.faults.len();
    println!("seed {seed}: {faults} faults, {served} served, {refused} refused, {failed} failed");
    if let Some(logs) = &report.logs {
        println!("  logs: {}", logs.display());
        for (at, fault) in &report.faults {
            println!("  {at:>6} ms {fault:?}");
        }
    }
    for violation in &report.violations {
        println!("  BROKEN {violation}");
    }
    report.violations.is_empty()
}
