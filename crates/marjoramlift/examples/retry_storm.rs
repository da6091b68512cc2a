//! Plays retry storms one after the other and prints the worst window of each.
//!
//! `cargo run --release -p marjoramlift --example retry_storm -- --program target/release/marjoramlift`

use std::{path, time};

use clap::Parser as _;

/// Plays retry storms.
#[derive(Debug, clap::Parser)]
struct Args {
    /// Program of the fleet.
    #[arg(long)]
    program: path::PathBuf,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Seconds before that in which nothing fails.
    #[arg(long, default_value_t = 0)]
    warm_up: u64,
    /// Seconds in which backend servers fail and processes start anew.
    #[arg(long, default_value_t = 30)]
    length: u64,
    /// Gateways, ten at most.
    #[arg(long, default_value_t = 5)]
    gateways: u8,
    /// Backend servers, of ten, that answer with success.
    #[arg(long, default_value_t = 0)]
    sound_servers: u8,
    /// How processes start anew: kill, stop, kill_all, kill_control, pause or none.
    #[arg(long, default_value_t)]
    restart: lift_soak::StormRestart,
    /// Milliseconds between two restarts.
    #[arg(long, default_value_t = 900)]
    restart_ms: u64,
    /// What is wrong with the other backend servers: error, reset, silent or refuse.
    #[arg(long, default_value_t)]
    server_fault: lift_soak::ServerFault,
    /// Loopback network of the first seed.
    #[arg(long, default_value_t = 130)]
    network: u8,
}

fn main() -> std::process::ExitCode {
    let args = Args::parse();
    let mut is_clean = true;
    for i in 0..args.seeds {
        let network = args.network + i as u8;
        match play(&args, args.first + i, network) {
            Ok(report) => {
                let used = report.worst_window.map_or(0.0, |window| window.used_part());
                is_clean &= used <= 1.0;
                println!("seed {}: {report:?}", args.first + i);
            }
            Err(error) => {
                is_clean = false;
                println!("seed {}: not played: {error}", args.first + i);
            }
        }
    }
    match is_clean {
        true => std::process::ExitCode::SUCCESS,
        false => std::process::ExitCode::FAILURE,
    }
}

fn play(args: &Args, seed: u64, network: u8) -> Result<lift_soak::StormReport, String> {
    let options = lift_soak::StormOptions::builder()
        .program(args.program.clone())
        .seed(seed)
        .warm_up(time::Duration::from_secs(args.warm_up))
        .length(time::Duration::from_secs(args.length))
        .gateways(args.gateways)
        .sound_servers(args.sound_servers)
        .restart(args.restart)
        .restart_interval(time::Duration::from_millis(args.restart_ms))
        .server_fault(args.server_fault)
        .build()
        .map_err(|e| e.to_string())?;
    let runtime = tokio::runtime::Runtime::new().map_err(|e| e.to_string())?;
    let played = runtime.block_on(lift_soak::run_retry_storm(&options, network));
    runtime.shutdown_background();
    played.map_err(|e| e.to_string())
}
