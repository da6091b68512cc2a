//! Writer of log lines that outlives a full disk.

use std::{io, sync};

use slog::Drain;
use sync::atomic;

use crate::log_config;

/// Output of a log.
pub(crate) type Output = Box<dyn io::Write + Send>;

/// Writes log lines and never fails: a full disk or a closed pipe must not end the threads that
/// log. Lines that could not be written are counted and reported once lines can be written again
/// (see docs/OPERATIONS.md).
pub(crate) struct LossyDrain {
    lines: sync::Mutex<slog_logfmt::Logfmt<Output>>,
    lost: atomic::AtomicU64,
}

impl LossyDrain {
    /// Writes to `output`.
    pub(crate) fn new(output: Output) -> Self {
        Self {
            lines: sync::Mutex::new(slog_logfmt::Logfmt::new(output).build()),
            lost: atomic::AtomicU64::new(0),
        }
    }

    /// Reports lost lines, which stay counted if the report is lost too.
    fn report_lost(&self) {
        let lost = self.lost.load(atomic::Ordering::Relaxed);
        if lost == 0 {
            return;
        }
        let values = slog::o!("ts" => slog::FnValue(log_config::timestamp)).into();
        let is_reported = self.lines.log(
            &slog::record!(
                slog::Level::Warning,
                "",
                &format_args!("log lines lost"),
                slog::b!("lines" => lost)
            ),
            &values,
        );
        if is_reported.is_ok() {
            self.lost.fetch_sub(lost, atomic::Ordering::Relaxed);
        }
    }
}

impl Drain for LossyDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<(), slog::Never> {
        if self.lines.log(record, values).is_ok() {
            self.report_lost();
        } else {
            self.lost.fetch_add(1, atomic::Ordering::Relaxed);
        }
        Ok(())
    }
}
