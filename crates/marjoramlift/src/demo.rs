//! `marjoramlift demo`.

use std::{path, process};

use crate::run;

/// Exit code for a part that could not be started.
const FAILED: u8 = 1;

/// Exit code for an option that is not valid.
const INVALID_OPTION: u8 = 2;

/// Options of the demo.
#[derive(Debug, clap::Args)]
pub(crate) struct DemoArgs {
    /// File of weights to spread; any file will do. Weights are generated without it.
    #[arg(long, value_name = "FILE")]
    weights: Option<path::PathBuf>,

    /// Number of model replicas.
    #[arg(long, default_value_t = 6, value_name = "N")]
    replicas: u32,

    /// Prints the report as one JSON object on the last line.
    #[arg(long)]
    json: bool,

    /// Lowest level that is logged: trace, debug, info, warning, error or critical.
    #[arg(long, default_value = "error")]
    log_level: String,
}

impl DemoArgs {
    /// Runs the demo and prints its report.
    pub(crate) fn run(self) -> process::ExitCode {
        let report = match self.report() {
            Ok(report) => report,
            Err((code, problem)) => {
                eprintln!("marjoramlift: {problem}");
                return process::ExitCode::from(code);
            }
        };
        if self.json {
            println!("{}", serde_json::to_string(&report).unwrap_or_default());
        } else {
            println!("{}", table(&report));
        }
        if report.is_good() {
            process::ExitCode::SUCCESS
        } else {
            process::ExitCode::FAILURE
        }
    }

    /// Runs the demo. A failure comes with its exit code.
    fn report(&self) -> Result<lift_node::DemoReport, (u8, String)> {
        let log = lift_obs::LogConfig::new().level(&self.log_level);
        let log = log.map_err(|e| (INVALID_OPTION, e.to_string()))?.build();
        let options = lift_node::DemoOptions {
            weights: self.weights.clone(),
            replicas: self.replicas,
        };
        let runtime = run::runtime().map_err(|e| (FAILED, e))?;
        let progress = lift_node::DemoProgress::new();
        let report = runtime.block_on(lift_node::demo(&options, &progress, &log));
        runtime.shutdown_background();
        report.map_err(|e| match e.current_context() {
            lift_node::DemoError::Weights { .. } | lift_node::DemoError::Replicas { .. } => {
                (INVALID_OPTION, e.to_string())
            }
            _ => (FAILED, format!("{e:?}")),
        })
    }
}

fn table(report: &lift_node::DemoReport) -> comfy_table::Table {
    let time = |ms: Option<u64>| ms.map_or(String::from("not reached"), |ms| format!("{ms} ms"));
    let copies = |bytes: u64| bytes as f64 / report.weights_bytes.max(1) as f64;
    let mut table = comfy_table::Table::new();
    table.load_style(comfy_table::presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(["", "version", "serving", "time to all", "origin copies"]);
    table.add_row([
        String::from("file"),
        report.version.clone(),
        format!("{} of {}", report.replicas_serving, report.replicas),
        time(report.time_to_all_ms),
        format!("{:.2}", copies(report.origin_bytes)),
    ]);
    if let Some(second) = &report.second {
        table.add_row([
            String::from("one chunk changed"),
            second.version.clone(),
            format!("{} of {}", second.replicas_serving, report.replicas),
            time(second.time_to_all_ms),
            format!("{:.2}", copies(second.origin_bytes)),
        ]);
    }
    table.add_row([
        String::from("answers"),
        format!("{} right", report.answers_ok),
        format!("{} wrong", report.answers_wrong),
        format!("{} lost", report.answers_lost),
    ]);
    table.add_row([
        String::from("non-idempotent"),
        format!("{} sent", report.non_idempotent_sent),
        format!("{} ran", report.non_idempotent_ran),
        format!("{} ran twice", report.double_runs),
    ]);
    table
}
