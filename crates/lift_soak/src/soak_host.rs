//! A host with a process of the fleet.

use std::{os::unix::process::ExitStatusExt as _, process, time};

use nix::sys::signal;

use crate::{process_settings, soak_error, soak_process};

/// Time over the grace time after which a process that does not stop is killed, without its pauses.
const STOP_SLACK: time::Duration = time::Duration::from_secs(1);

/// Time in which a process that was started may not handle signals yet, and in which a signal that
/// it does not handle ends it.
const START_TIME: time::Duration = time::Duration::from_millis(500);

/// What the process on a host is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Runs,
    /// It was told to stop when it had run for so long.
    Stops(time::Duration),
    /// It was killed.
    Down,
}

/// A process and what is expected of it.
#[derive(Debug)]
pub(crate) struct SoakHost {
    pub(crate) process: soak_process::SoakProcess,
    state: State,
    /// How long it had run when it last got a signal that it may not have handled yet.
    early_signal_at: Option<time::Duration>,
}

impl SoakHost {
    pub(crate) fn new(process: soak_process::SoakProcess) -> Self {
        Self {
            process,
            state: State::Down,
            early_signal_at: None,
        }
    }

    pub(crate) fn start(&mut self) -> Result<(), soak_error::SoakError> {
        if self.state == State::Down {
            self.process.start()?;
            self.state = State::Runs;
            self.early_signal_at = None;
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
            self.state = State::Stops(self.process.run_time());
        }
    }

    /// Tells the process that its settings have changed.
    pub(crate) fn reload(&mut self) {
        self.signal(signal::Signal::SIGHUP);
    }

    fn signal(&mut self, signal: signal::Signal) {
        let run_time = self.process.run_time();
        if run_time < START_TIME {
            self.early_signal_at = Some(run_time);
        }
        self.process.signal(signal);
    }

    /// Whether a signal ended the process that came before it handled any.
    fn is_unhandled(&self, status: process::ExitStatus) -> bool {
        let signals = [signal::Signal::SIGTERM, signal::Signal::SIGHUP];
        let is_one = signals.iter().any(|s| status.signal() == Some(*s as i32));
        let run_time = self.process.run_time();
        let is_early = self
            .early_signal_at
            .is_some_and(|at| run_time - at < START_TIME);
        is_early && is_one
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
            None if self.process.run_time() - since < limit => return Ok(None),
            None => Some(String::from("did not stop in time")),
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
