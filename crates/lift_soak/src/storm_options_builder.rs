//! Collects the options of a retry storm.

use std::{path, time};

use crate::{server_fault, soak_error, storm_options, storm_restart};

/// Collects [`storm_options::StormOptions`].
#[derive(Clone, Debug)]
pub struct StormOptionsBuilder {
    program: Option<path::PathBuf>,
    seed: u64,
    warm_up: time::Duration,
    length: time::Duration,
    gateways: u8,
    sound_servers: u8,
    restart: storm_restart::StormRestart,
    restart_interval: time::Duration,
    server_fault: server_fault::ServerFault,
}

impl Default for StormOptionsBuilder {
    fn default() -> Self {
        Self {
            program: None,
            seed: 1,
            warm_up: time::Duration::ZERO,
            length: time::Duration::from_secs(20),
            gateways: 5,
            sound_servers: 0,
            restart: storm_restart::StormRestart::default(),
            restart_interval: time::Duration::from_millis(900),
            server_fault: server_fault::ServerFault::default(),
        }
    }
}

impl StormOptionsBuilder {
    /// Sets the program of the fleet. Required.
    pub fn program(mut self, program: path::PathBuf) -> Self {
        self.program = Some(program);
        self
    }

    /// Sets the seed, which decides where requests go.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the time before that in which nothing fails.
    pub fn warm_up(mut self, warm_up: time::Duration) -> Self {
        self.warm_up = warm_up;
        self
    }

    /// Sets the time in which backend servers fail and processes start anew.
    pub fn length(mut self, length: time::Duration) -> Self {
        self.length = length;
        self
    }

    /// Sets the number of gateways, ten at most.
    pub fn gateways(mut self, gateways: u8) -> Self {
        self.gateways = gateways.clamp(1, 10);
        self
    }

    /// Sets the number of backend servers, of ten, that answer with success.
    pub fn sound_servers(mut self, sound_servers: u8) -> Self {
        self.sound_servers = sound_servers;
        self
    }

    /// Sets how processes start anew.
    pub fn restart(mut self, restart: storm_restart::StormRestart) -> Self {
        self.restart = restart;
        self
    }

    /// Sets the time between two restarts.
    pub fn restart_interval(mut self, restart_interval: time::Duration) -> Self {
        self.restart_interval = restart_interval;
        self
    }

    /// Sets what is wrong with the other backend servers.
    pub fn server_fault(mut self, server_fault: server_fault::ServerFault) -> Self {
        self.server_fault = server_fault;
        self
    }

    /// Creates the options.
    ///
    /// # Errors
    ///
    /// Returns an error if the program is missing.
    pub fn build(self) -> Result<storm_options::StormOptions, soak_error::SoakError> {
        Ok(storm_options::StormOptions {
            program: self
                .program
                .ok_or(soak_error::SoakError::Missing("program"))?,
            seed: self.seed,
            warm_up: self.warm_up,
            length: self.length,
            gateways: self.gateways,
            sound_servers: self.sound_servers,
            restart: self.restart,
            restart_interval: self.restart_interval,
            server_fault: self.server_fault,
        })
    }
}
