//! Ends of the backend servers of hosts.

use std::time;

/// Time in which all requests of one backend server learn that it has ended. A later end at the
/// same host is that of its next backend server.
const SAME_END_TIME: time::Duration = time::Duration::from_millis(500);

/// Numbers the backend servers that have ended at each host, since the next one comes back under
/// the name of the host.
#[derive(Debug, Default)]
pub(crate) struct HostEnds {
    ends: indexmap::IndexMap<lift_types::HostId, HostEnd>,
}

/// Last end at a host.
#[derive(Debug)]
struct HostEnd {
    number: u32,
    at: time::Instant,
}

impl HostEnds {
    /// Returns a name for the backend server of `host` that was found to have ended at `now`.
    pub(crate) fn name(&mut self, now: time::Instant, host: lift_types::HostId) -> String {
        let end = self
            .ends
            .entry(host)
            .or_insert(HostEnd { number: 0, at: now });
        if now.saturating_duration_since(end.at) >= SAME_END_TIME {
            *end = HostEnd {
                number: end.number + 1,
                at: now,
            };
        }
        format!("{host}-{}", end.number)
    }
}
