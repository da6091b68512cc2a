//! Runs the configuration experiment and prints its report as JSON.

use clap::Parser as _;

#[derive(Debug, clap::Parser)]
struct Args {
    #[command(flatten)]
    options: lift_bench::ConfigOptions,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args = Args::parse();
    let report = lift_bench::run_config(&args.options)
        .await
        .map_err(|e| format!("{e:?}"))?;
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}
