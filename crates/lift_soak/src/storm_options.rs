//! What is played in a retry storm.

use std::{path, time};

use crate::{server_fault, storm_options_builder, storm_restart};

/// Options of one retry storm.
#[derive(Clone, Debug)]
pub struct StormOptions {
    pub(crate) program: path::PathBuf,
    pub(crate) seed: u64,
    pub(crate) warm_up: time::Duration,
    pub(crate) length: time::Duration,
    pub(crate) gateways: u8,
    pub(crate) sound_servers: u8,
    pub(crate) restart: storm_restart::StormRestart,
    pub(crate) restart_interval: time::Duration,
    pub(crate) server_fault: server_fault::ServerFault,
}

impl StormOptions {
    /// Creates a builder that collects the options.
    pub fn builder() -> storm_options_builder::StormOptionsBuilder {
        storm_options_builder::StormOptionsBuilder::default()
    }
}
