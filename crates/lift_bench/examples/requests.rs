//! Runs the request experiment and prints its report as JSON, without the rest of `liftctl`.

use std::process;

use clap::Parser as _;

/// Worker threads beside those of the roles.
const THREADS: usize = 2;

#[derive(Debug, clap::Parser)]
struct Args {
    #[command(flatten)]
    options: lift_bench::RequestsOptions,
}

fn main() -> process::ExitCode {
    let args = Args::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return process::ExitCode::FAILURE;
    };
    match runtime.block_on(lift_bench::run_requests(&args.options)) {
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
