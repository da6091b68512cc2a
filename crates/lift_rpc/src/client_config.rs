//! Settings of a client.

use std::{net, sync, time};

/// What [`crate::ControlClientBuilder`] collects.
#[derive(Clone, Debug)]
pub(crate) struct ClientConfig {
    pub(crate) addresses: Vec<net::SocketAddr>,
    pub(crate) keys: lift_wire::LinkKeys,
    pub(crate) confirm_interval: time::Duration,
    pub(crate) request_timeout: time::Duration,
    pub(crate) log: slog::Logger,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
}
