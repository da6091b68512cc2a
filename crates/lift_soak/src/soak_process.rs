//! One process of the fleet.

use std::{fs, path, process, time};

use nix::{sys::signal, unistd};

use crate::{run_clock, soak_error};

/// A program that is started, signalled and started again.
#[derive(Debug)]
pub(crate) struct SoakProcess {
    program: path::PathBuf,
    folder: path::PathBuf,
    child: Option<process::Child>,
    clock: run_clock::RunClock,
}

impl SoakProcess {
    /// Prepares a process whose settings, log and data are in `folder`.
    pub(crate) fn new(program: path::PathBuf, folder: path::PathBuf) -> Self {
        Self {
            program,
            folder,
            child: None,
            clock: run_clock::RunClock::start(),
        }
    }

    /// File with the settings.
    pub(crate) fn settings(&self) -> path::PathBuf {
        self.folder.join("settings.json")
    }

    /// Folder for the data of a control member.
    pub(crate) fn data(&self) -> path::PathBuf {
        self.folder.join("data")
    }

    /// Starts the program, if it does not run.
    pub(crate) fn start(&mut self) -> Result<(), soak_error::SoakError> {
        if self.child.is_some() {
            return Ok(());
        }
        let failed = |e| soak_error::SoakError::Io("process", e);
        fs::create_dir_all(self.data()).map_err(failed)?;
        let mut options = fs::OpenOptions::new();
        let log = options.create(true).append(true);
        let log = log.open(self.folder.join("log")).map_err(failed)?;
        let errors = log.try_clone().map_err(failed)?;
        let child = process::Command::new(&self.program)
            .arg("fleet")
            .arg("--settings")
            .arg(self.settings())
            .stdin(process::Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.map_err(failed)?);
        self.clock = run_clock::RunClock::start();
        Ok(())
    }

    /// Sends a signal, if the process runs.
    pub(crate) fn signal(&mut self, signal: signal::Signal) {
        if let Some(child) = &self.child {
            // A process that has just ended is found by `ended`.
            let _ = signal::kill(unistd::Pid::from_raw(child.id() as i32), signal);
        }
        match signal {
            signal::Signal::SIGSTOP => self.clock.pause(),
            signal::Signal::SIGCONT => self.clock.resume(),
            _ => {}
        }
    }

    /// Kills the process and waits for its end.
    pub(crate) fn kill(&mut self) {
        self.signal(signal::Signal::SIGKILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
        self.clock.resume();
    }

    /// Whether the process runs and is not paused.
    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some() && !self.clock.is_paused()
    }

    /// Time since the last start without pauses.
    pub(crate) fn run_time(&self) -> time::Duration {
        self.clock.elapsed()
    }

    /// How the process ended, if it did.
    pub(crate) fn ended(&mut self) -> Option<process::ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// Drops all data of the process, as a disk that is lost.
    pub(crate) fn wipe(&mut self) -> Result<(), soak_error::SoakError> {
        let removed = fs::remove_dir_all(self.data());
        removed.map_err(|e| soak_error::SoakError::Io("disk", e))
    }
}

impl Drop for SoakProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
