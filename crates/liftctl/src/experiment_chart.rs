//! Chart of an experiment.

use plotters::prelude::*;

use crate::experiment_page;

/// Size of the chart in pixels.
const SIZE: (u32, u32) = (900, 420);

/// Smallest time that the chart shows, in milliseconds.
const SMALLEST_MS: f64 = 0.01;

/// Draws the times of a report, those whose names end in `_ms` or `_us`, as bars over a
/// logarithmic axis in milliseconds.
pub(crate) fn draw(name: &str, report: &experiment_page::Fields) -> Result<String, String> {
    let times: Vec<(&str, f64)> = report.iter().filter_map(time_of).collect();
    let largest = times.iter().map(|(_, ms)| *ms).fold(1.0, f64::max);
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|e| e.to_string())?;
    let rows = times.len().max(1);
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{name}: times in ms"), ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(170)
        .build_cartesian_2d((SMALLEST_MS..largest * 2.0).log_scale(), 0..rows)
        .map_err(|e| e.to_string())?;
    let label = |row: &usize| times.get(*row).map_or("", |(name, _)| *name).to_string();
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(rows + 1)
        .y_label_formatter(&label)
        .draw()
        .map_err(|e| e.to_string())?;
    let bars = times.iter().enumerate().map(|(row, (_, ms))| {
        let mut bar = Rectangle::new([(SMALLEST_MS, row), (*ms, row + 1)], BLUE.mix(0.6).filled());
        bar.set_margin(3, 3, 0, 0);
        bar
    });
    chart.draw_series(bars).map_err(|e| e.to_string())?;
    area.present().map_err(|e| e.to_string())?;
    drop(chart);
    drop(area);
    Ok(svg)
}

fn time_of<'a>((name, value): (&'a String, &serde_json::Value)) -> Option<(&'a str, f64)> {
    let value = value.as_f64()?;
    let ms = if name.ends_with("_ms") {
        value
    } else if name.ends_with("_us") {
        value / 1_000.0
    } else {
        return None;
    };
    Some((name, ms.max(SMALLEST_MS)))
}
