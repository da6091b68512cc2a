//! Runs one burst and prints its report as JSON, without the rest of `liftctl`.

use std::process;

use clap::Parser as _;

/// Worker threads: the experiment leaves part of the machine to others.
const THREADS: usize = 6;

/// Threads for files. Each host has these for itself in a real fleet; here all hosts verify
/// their weights at the same time.
const FILE_THREADS: usize = 8;

#[derive(Debug, clap::Parser)]
struct Args {
    #[command(flatten)]
    options: lift_bench::BurstOptions,
}

fn main() -> process::ExitCode {
    let args = Args::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .max_blocking_threads(FILE_THREADS)
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return process::ExitCode::FAILURE;
    };
    match runtime.block_on(lift_bench::run_burst(&args.options)) {
        Ok(report) => {
            println!("{}", serde_json::json!(report));
            process::ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error:?}");
            process::ExitCode::FAILURE
        }
    }
}
