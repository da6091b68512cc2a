//! Report folder of an experiment.

use std::{fmt::Write as _, fs, path};

use crate::{cli_error, experiment_chart};

/// Fields of a report, in order.
pub(crate) type Fields = serde_json::Map<String, serde_json::Value>;

/// Writes `report.json`, `chart.svg` and `README.md` into `dir`.
pub(crate) fn write(
    dir: &path::Path,
    name: &str,
    report: &Fields,
) -> Result<(), cli_error::CliError> {
    let failed = |e: String| cli_error::CliError::Failed(format!("{}: {e}", dir.display()));
    fs::create_dir_all(dir).map_err(|e| failed(e.to_string()))?;
    let json = serde_json::to_string_pretty(report).map_err(|e| failed(e.to_string()))?;
    let chart = experiment_chart::draw(name, report).map_err(failed)?;
    let files = [
        ("report.json", json + "\n"),
        ("chart.svg", chart),
        ("README.md", page(name, report)),
    ];
    for (file, text) in files {
        fs::write(dir.join(file), text).map_err(|e| failed(e.to_string()))?;
    }
    Ok(())
}

/// Value of a field on one line.
pub(crate) fn text(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::String(text) => text.clone(),
        serde_json::Value::Number(number) if number.is_f64() => {
            format!("{:.3}", number.as_f64().unwrap_or_default())
        }
        serde_json::Value::Object(fields) => {
            let fields = fields.iter().map(|(name, value)| format!("{name} {value}"));
            fields.collect::<Vec<_>>().join(", ")
        }
        other => other.to_string(),
    }
}

fn page(name: &str, report: &Fields) -> String {
    let mut page = format!("# Experiment {name}\n\n");
    page.push_str(
        "One run, on loopback with stand-ins. Targets are in `docs/design.md`, section 1.7.\n\n",
    );
    page.push_str("![Times of this run](chart.svg)\n\n| figure | value |\n| --- | --- |\n");
    for (field, value) in report {
        let _ = writeln!(page, "| `{field}` | {} |", text(value));
    }
    page
}
