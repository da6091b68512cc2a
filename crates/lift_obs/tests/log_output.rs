//! Guards against threads that end because the output of their log is full for a while.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{io, sync, thread, time};

use sync::atomic;

/// Lines logged while the output is full.
const FULL_LINES: usize = 20;

/// Longest wait for the thread of the log.
const LIMIT: time::Duration = time::Duration::from_secs(10);

/// Output that can be full.
#[derive(Clone, Default)]
struct Disk {
    is_full: sync::Arc<atomic::AtomicBool>,
    refused: sync::Arc<atomic::AtomicUsize>,
    text: sync::Arc<sync::Mutex<Vec<u8>>>,
}

impl Disk {
    fn text(&self) -> String {
        String::from_utf8(self.text.lock().unwrap().clone()).unwrap()
    }

    fn wait_until(&self, is_done: impl Fn(&Self) -> bool) {
        let until = time::Instant::now() + LIMIT;
        while !is_done(self) {
            assert!(time::Instant::now() < until, "the log has ended");
            thread::sleep(time::Duration::from_millis(1));
        }
    }
}

impl io::Write for Disk {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.is_full.load(atomic::Ordering::SeqCst) {
            self.refused.fetch_add(1, atomic::Ordering::SeqCst);
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        self.text.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_log_whose_output_was_full_for_a_while_goes_on_and_reports_lost_lines() {
    let disk = Disk::default();
    let log = lift_obs::LogConfig::new().build_for(Box::new(disk.clone()));
    slog::info!(log, "before");
    disk.wait_until(|disk| disk.text().ends_with('\n'));

    disk.is_full.store(true, atomic::Ordering::SeqCst);
    for number in 1..=FULL_LINES {
        slog::info!(log, "full");
        disk.wait_until(|disk| disk.refused.load(atomic::Ordering::SeqCst) >= number);
    }
    // The last refusal is counted after the write has returned.
    thread::sleep(time::Duration::from_millis(50));
    disk.is_full.store(false, atomic::Ordering::SeqCst);
    slog::info!(log, "after");
    slog::info!(log, "later");
    drop(log);

    let text = disk.text();
    let count = |word: &str| text.lines().filter(|line| line.contains(word)).count();
    assert_eq!(count("before"), 1, "{text}");
    assert_eq!(count("full"), 0, "{text}");
    assert_eq!(count("after"), 1, "{text}");
    assert_eq!(count("later"), 1, "{text}");
    assert_eq!(count("log lines lost"), 1, "{text}");
    assert_eq!(count(&format!("lines={FULL_LINES}")), 1, "{text}");
}
