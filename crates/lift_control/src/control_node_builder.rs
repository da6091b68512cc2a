//! Builder of a control member.

use std::{sync, time};

use crate::{control_machine, control_node};

/// Collects the settings of a [`control_node::ControlNode`]. The replicated log and its state
/// machine have no defaults and must be set.
#[derive(Clone, Debug)]
pub struct ControlNodeBuilder {
    log: Option<sync::Arc<dyn lift_log::ReplicatedLog>>,
    machine: Option<sync::Arc<control_machine::ControlMachine>>,
    lease: time::Duration,
    logger: slog::Logger,
    counters: sync::Arc<lift_obs::Counters>,
}

impl ControlNodeBuilder {
    pub(crate) fn new() -> Self {
        Self {
            log: None,
            machine: None,
            lease: lift_types::DEFAULT_LEASE,
            logger: lift_obs::LogConfig::discard(),
            counters: sync::Arc::new(lift_obs::Counters::new()),
        }
    }

    /// Sets the replicated log.
    pub fn log(mut self, log: sync::Arc<dyn lift_log::ReplicatedLog>) -> Self {
        self.log = Some(log);
        self
    }

    /// Sets the state machine that the log drives.
    pub fn machine(mut self, machine: sync::Arc<control_machine::ControlMachine>) -> Self {
        self.machine = Some(machine);
        self
    }

    /// Sets the duration of the leases and grants that agents receive;
    /// [`lift_types::DEFAULT_LEASE`] by default.
    pub fn lease(mut self, lease: time::Duration) -> Self {
        self.lease = lease;
        self
    }

    /// Sets the logger; nothing is logged without it.
    pub fn logger(mut self, logger: slog::Logger) -> Self {
        self.logger = logger;
        self
    }

    /// Sets the counters (`control.*`).
    pub fn counters(mut self, counters: sync::Arc<lift_obs::Counters>) -> Self {
        self.counters = counters;
        self
    }

    /// Starts the member. Call it within a `tokio` runtime.
    ///
    /// # Errors
    ///
    /// Returns [`lift_rpc::ControlError::Invalid`] if the log or the state machine is missing.
    pub fn start(
        self,
    ) -> Result<sync::Arc<control_node::ControlNode>, error_stack::Report<lift_rpc::ControlError>>
    {
        let log = self.log.ok_or_else(|| missing_setting("log"))?;
        let machine = self.machine.ok_or_else(|| missing_setting("machine"))?;
        Ok(control_node::ControlNode::start(
            log,
            machine,
            self.lease,
            self.logger,
            self.counters,
        ))
    }
}

fn missing_setting(path: &str) -> lift_rpc::ControlError {
    lift_rpc::ControlError::Invalid {
        path: String::from(path),
        problem: String::from("is missing; allowed: exactly 1"),
    }
}
