//! A host with a process of the fleet.

use std::time;

use nix::sys::signal;

use crate::{process_settings, soak_error, soak_process};

/// Time over the grace time after which a process that does not stop is killed.
const STOP_SLACK: time::Duration = time::Duration::from_secs(1);

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
}

impl SoakHost {
    pub(crate) fn new(process: soak_process::SoakProcess) -> Self {
        Self {
            process,
            state: State::Down,
        }
    }

    pub(crate) fn start(&mut self) -> Result<(), soak_error::SoakError> {
        if self.state == State::Down {
            self.process.start()?;
            self.state = State::Runs;
        }
        Ok(())
    }

    pub(crate) fn kill(&mut self) {
        self.process.kill();
        self.state = State::Down;
    }

    /// Tells the process to stop, if it does not do so already.
    pub(crate) fn stop(&mut self) {
        if self.state == State::Runs {
            self.process.signal(signal::Signal::SIGTERM);
            self.state = State::Stops(time::Instant::now());
        }
    }

    /// Looks after the process, and starts it again after a planned stop. Returns what is wrong
    /// with its end.
    pub(crate) fn look(&mut self) -> Result<Option<String>, soak_error::SoakError> {
        let ended = self.process.ended();
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
