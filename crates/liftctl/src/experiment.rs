//! `liftctl experiment`.

use std::path;

use crate::{cli_error, experiment_page, output};

/// Experiments on loopback. They need no server.
#[derive(Debug, clap::Subcommand)]
pub(crate) enum ExperimentCommand {
    /// Spreads a version to many hosts over limited links.
    Burst(WithReport<lift_bench::BurstOptions>),
    /// Sends requests through entries while parts fail.
    Requests(WithReport<lift_bench::RequestsOptions>),
    /// Changes the configuration of many nodes while parts fail.
    Config(WithReport<lift_bench::ConfigOptions>),
}

/// Options of an experiment and where to write its report.
#[derive(Debug, clap::Args)]
pub(crate) struct WithReport<T: clap::Args> {
    #[command(flatten)]
    options: T,

    /// Folder for the report: JSON, a chart and a short page. It is made where it is missing.
    #[arg(long, value_name = "DIR")]
    report: Option<path::PathBuf>,
}

impl ExperimentCommand {
    /// Runs the experiment and prints its report.
    pub(crate) async fn run(self, output: &output::Output) -> Result<(), cli_error::CliError> {
        let (name, report, dir) = match self {
            Self::Burst(args) => {
                let report = lift_bench::run_burst(&args.options).await;
                ("burst", to_value(report)?, args.report)
            }
            Self::Requests(args) => {
                let report = lift_bench::run_requests(&args.options).await;
                ("requests", to_value(report)?, args.report)
            }
            Self::Config(args) => {
                let report = lift_bench::run_config(&args.options).await;
                ("config", to_value(report)?, args.report)
            }
        };
        if let Some(dir) = dir {
            experiment_page::write(&dir, name, &report)?;
            output.note(&format!("report written to {}", dir.display()));
        }
        let row = |(name, value): (&String, &serde_json::Value)| {
            vec![name.clone(), experiment_page::text(value)]
        };
        let rows = report.iter().map(row).collect();
        output.table(&["figure", name], rows, &report)
    }
}

/// A report as the fields that are printed.
fn to_value<T: serde::Serialize>(
    report: Result<T, error_stack::Report<lift_bench::BenchError>>,
) -> Result<experiment_page::Fields, cli_error::CliError> {
    let report = report.map_err(|e| match e.current_context() {
        lift_bench::BenchError::Option { .. } => cli_error::CliError::Invalid(e.to_string()),
        _ => cli_error::CliError::Failed(format!("{e:?}")),
    })?;
    match serde_json::to_value(&report) {
        Ok(serde_json::Value::Object(fields)) => Ok(fields),
        _ => Err(cli_error::CliError::Failed(String::from(
            "the report is not an object",
        ))),
    }
}
