//! Progress of the demo.

use std::io::{self, IsTerminal as _};

/// A progress bar on a terminal, lines elsewhere. Both go to standard error.
#[derive(Debug)]
pub struct DemoProgress {
    bar: Option<indicatif::ProgressBar>,
}

impl DemoProgress {
    /// Chooses between bar and lines.
    pub fn new() -> Self {
        if !io::stderr().is_terminal() {
            return Self { bar: None };
        }
        let bar = indicatif::ProgressBar::new(0);
        let style = indicatif::ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len}");
        bar.set_style(style.unwrap_or_else(|_| indicatif::ProgressStyle::default_bar()));
        Self { bar: Some(bar) }
    }

    /// A step begins.
    pub(crate) fn step(&self, text: &str) {
        match &self.bar {
            Some(bar) => bar.set_message(String::from(text)),
            None => eprintln!("demo: {text}"),
        }
    }

    /// So many replicas serve the version of the step.
    pub(crate) fn serving(&self, serving: u32, replicas: u32) {
        if let Some(bar) = &self.bar {
            bar.set_length(u64::from(replicas));
            bar.set_position(u64::from(serving));
        }
    }

    /// Removes the bar.
    pub(crate) fn finish(&self) {
        if let Some(bar) = &self.bar {
            bar.finish_and_clear();
        }
    }
}

impl Default for DemoProgress {
    fn default() -> Self {
        Self::new()
    }
}
