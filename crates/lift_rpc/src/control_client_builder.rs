//! Builder of a client.

use std::{net, sync, time};

use crate::{client_config, control_client, control_error};

/// Interval of the questions for the current revision. It leaves room for four questions
/// within [`lift_types::PolicyView::CONFIRM_TIMEOUT`].
const CONFIRM_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Time after which an operation is given up. It covers an election and a reconnection.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Collects the settings of a [`control_client::ControlClient`]. Addresses and keys are
/// needed, the rest has defaults.
#[derive(Clone, Debug)]
pub struct ControlClientBuilder {
    addresses: Vec<net::SocketAddr>,
    keys: Option<lift_wire::LinkKeys>,
    confirm_interval: time::Duration,
    request_timeout: time::Duration,
    log: slog::Logger,
    counters: sync::Arc<lift_obs::Counters>,
}

impl ControlClientBuilder {
    pub(crate) fn new() -> Self {
        Self {
            addresses: Vec::new(),
            keys: None,
            confirm_interval: CONFIRM_INTERVAL,
            request_timeout: REQUEST_TIMEOUT,
            log: lift_obs::LogConfig::discard(),
            counters: sync::Arc::new(lift_obs::Counters::new()),
        }
    }

    /// Adds an address of a control member or relay.
    pub fn address(mut self, address: net::SocketAddr) -> Self {
        self.addresses.push(address);
        self
    }

    /// Adds addresses of control members or relays.
    pub fn addresses(mut self, addresses: impl IntoIterator<Item = net::SocketAddr>) -> Self {
        self.addresses.extend(addresses);
        self
    }

    /// Sets the link keys.
    pub fn keys(mut self, keys: lift_wire::LinkKeys) -> Self {
        self.keys = Some(keys);
        self
    }

    /// Sets the interval of the questions for the current revision; 500 ms without it.
    pub fn confirm_interval(mut self, interval: time::Duration) -> Self {
        self.confirm_interval = interval;
        self
    }

    /// Sets the time after which an operation is given up; 5 s without it.
    pub fn request_timeout(mut self, timeout: time::Duration) -> Self {
        self.request_timeout = timeout;
        self
    }

    /// Sets the logger; nothing is logged without it.
    pub fn log(mut self, log: slog::Logger) -> Self {
        self.log = log;
        self
    }

    /// Sets the counters (`control.client.*`).
    pub fn counters(mut self, counters: sync::Arc<lift_obs::Counters>) -> Self {
        self.counters = counters;
        self
    }

    /// Starts the client. It connects in the background; call it within a `tokio` runtime.
    ///
    /// # Errors
    ///
    /// Returns [`control_error::ControlError::Invalid`] where addresses or keys are missing.
    pub fn start(
        self,
    ) -> Result<control_client::ControlClient, error_stack::Report<control_error::ControlError>>
    {
        if self.addresses.is_empty() {
            return Err(missing("addresses", "no address; allowed: at least 1"));
        }
        let Some(keys) = self.keys else {
            return Err(missing("keys", "no link key; allowed: at least 1"));
        };
        Ok(control_client::ControlClient::start(
            client_config::ClientConfig {
                addresses: self.addresses,
                keys,
                confirm_interval: self.confirm_interval,
                request_timeout: self.request_timeout,
                log: self.log,
                counters: self.counters,
            },
        ))
    }
}

fn missing(path: &str, problem: &str) -> error_stack::Report<control_error::ControlError> {
    error_stack::Report::new(control_error::ControlError::Invalid {
        path: String::from(path),
        problem: String::from(problem),
    })
}
