//! A host with a process of the fleet.

use std::{os::unix::process::ExitStatusExt as _, process, time};

use nix::sys::signal;

use crate::{process_settings, soak_error, soak_process};

/// Time over the grace time after which a process that does not stop is killed.
const STOP_SLACK: time::Duration = time::Duration::from_secs(1);

/// Time in which a process that was started may not handle signals yet.
const START_TIME: time::Duration = time::Duration::from_millis(500);

/// What the process on a host is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Runs,
    /// It was told to stop.
    Stops(time::Instant),
    /// It was killed.
    Down,
}

/// A process and what is expected of it.
#[derive(Debug)]
pub(crate) struct SoakHost {
    pub(crate) process: soak_process::SoakProcess,
    state: State,
    started_at: time::Instant,
    /// Whether it got a signal when it may not have handled signals yet.
    was_starting: bool,
}

impl SoakHost {
    pub(crate) fn new(process: soak_process::SoakProcess) -> Self {
        Self {
            process,
            state: State::Down,
            started_at: time::Instant::now(),
            was_starting: false,
        }
    }

    pub(crate) fn start(&mut self) -> Result<(), soak_error::SoakError> {
        if self.state == State::Down {
            self.process.start()?;
            self.state = State::Runs;
            self.started_at = time::Instant::now();
            self.was_starting = false;
        }
        Ok(())
    }

    pub(crate) fn kill(&mut self) {
        self.process.kill();
        self.state = State::Down;
    }

    /// Tells the process to stop, even if it does so already.
    pub(crate) fn stop(&mut self) {
        self.signal(signal::Signal::SIGTERM);
        if self.state == State::Runs {
            self.state = State::Stops(time::Instant::now());
        }
    }

    /// Tells the process that its settings have changed.
    pub(crate) fn reload(&mut self) {
        self.signal(signal::Signal::SIGHUP);
    }

    fn signal(&mut self, signal: signal::Signal) {
        self.process.signal(signal);
        self.was_starting |= self.started_at.elapsed() < START_TIME;
    }

    /// Whether a signal ended the process that came before it handled any.
    fn is_unhandled(&self, status: process::ExitStatus) -> bool {
        let signals = [signal::Signal::SIGTERM, signal::Signal::SIGHUP];
        let is_one = signals.iter().any(|s| status.signal() == Some(*s as i32));
        self.was_starting && is_one
    }

    /// Looks after the process, and starts it again after a planned stop. Returns what is wrong
    /// with its end.
    pub(crate) fn look(&mut self) -> Result<Option<String>, soak_error::SoakError> {
        let ended = self.process.ended();
        if ended.is_some_and(|status| self.is_unhandled(status)) {
            self.state = State::Down;
            self.start()?;
            return Ok(None);
        }
        let State::Stops(since) = self.state else {
            if ended.is_some() {
                self.state = State::Down;
            }
            return Ok(ended.map(|status| format!("ended by itself: {status}")));
        };
        let limit = time::Duration::from_secs(process_settings::GRACE_S) + STOP_SLACK;
        let fault = match ended {
            Some(status) if status.success() => None,
            Some(status) => Some(format!("stopped with {status}")),
            None if since.elapsed() < limit => return Ok(None),
            // A process that was paused has had no time to stop.
            None => None,
        };
        self.kill();
        self.start()?;
        Ok(fault)
    }

    /// Whether the process runs and was not told to stop.
    pub(crate) fn is_up(&self) -> bool {
        self.state == State::Runs && self.process.is_running()
    }
}
