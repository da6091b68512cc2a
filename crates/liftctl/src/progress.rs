//! Progress of a rollout.

use std::cell;

use crate::output;

/// A bar on a terminal, a line per change elsewhere. Both go to standard error.
pub(crate) struct Progress {
    bar: Option<indicatif::ProgressBar>,
    last: cell::Cell<Option<(u32, u32)>>,
}

impl Progress {
    /// Chooses between bar and lines.
    pub(crate) fn new(output: &output::Output) -> Self {
        let bar = output.is_terminal().then(|| {
            let bar = indicatif::ProgressBar::new(0);
            let style = indicatif::ProgressStyle::with_template("{wide_bar} {pos}/{len} {msg}");
            bar.set_style(style.unwrap_or_else(|_| indicatif::ProgressStyle::default_bar()));
            bar
        });
        Self {
            bar,
            last: cell::Cell::new(None),
        }
    }

    /// Shows how many replicas serve their version.
    pub(crate) fn show(&self, status: &lift_admin::RolloutStatus) {
        let version = status.version.as_deref().unwrap_or("none");
        if let Some(bar) = &self.bar {
            bar.set_length(u64::from(status.replicas));
            bar.set_position(u64::from(status.serving));
            bar.set_message(format!("serving, default {version}"));
            return;
        }
        let counts = (status.serving, status.replicas);
        if self.last.replace(Some(counts)) != Some(counts) {
            eprintln!(
                "{} of {} replicas serving, default {version}",
                status.serving, status.replicas
            );
        }
    }

    /// Removes the bar.
    pub(crate) fn finish(&self) {
        if let Some(bar) = &self.bar {
            bar.finish_and_clear();
        }
    }
}
