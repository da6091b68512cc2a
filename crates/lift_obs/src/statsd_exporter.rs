//! Export of counters.

use std::net;

use cadence::Counted as _;
use error_stack::ResultExt as _;

use crate::{counters, statsd_error};

/// Prefix of all exported counters.
const PREFIX: &str = "marjoramlift";

/// Sends the growth of each counter to a statsd receiver over UDP.
#[derive(Debug)]
pub struct StatsdExporter {
    client: cadence::StatsdClient,
    sent: indexmap::IndexMap<String, u64>,
}

impl StatsdExporter {
    /// Prepares an export to `receiver`. Nothing is sent yet.
    ///
    /// # Errors
    ///
    /// Returns an error where no local socket can be had.
    pub fn new(
        receiver: net::SocketAddr,
    ) -> Result<Self, error_stack::Report<statsd_error::StatsdError>> {
        let local = if receiver.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = net::UdpSocket::bind(local).change_context(statsd_error::StatsdError)?;
        let sink = cadence::UdpMetricSink::from(receiver, socket)
            .change_context(statsd_error::StatsdError)?;
        let client = cadence::StatsdClient::from_sink(PREFIX, sink);
        Ok(Self {
            client,
            sent: indexmap::IndexMap::new(),
        })
    }

    /// Sends what was counted since the last call. A datagram that can't be sent is
    /// tried again with the next call.
    pub fn export(&mut self, counters: &counters::Counters) {
        for (name, value) in counters.snapshot() {
            let before = self.sent.get(&name).copied().unwrap_or_default();
            let growth = value.saturating_sub(before);
            if growth == 0 || self.client.count(&name, growth).is_err() {
                continue;
            }
            self.sent.insert(name, value);
        }
    }
}
