//! Idle connections to backend servers.

use std::{net, time};

use crate::backend_connection;

/// Number of shards. More than the worker threads, so that they seldom meet.
const SHARDS: usize = 8;

/// Time for which an idle connection is kept where the backend server names none.
const DEFAULT_KEEP: time::Duration = time::Duration::from_secs(2);

/// Time before the end of the named time at which a connection is not used any more, so that
/// a request does not meet its closing.
const KEEP_MARGIN: time::Duration = time::Duration::from_millis(700);

/// Idle connections to one backend server.
const MAX_IDLE: usize = 32;

/// Idle connections by address, in shards.
#[derive(Debug)]
pub(crate) struct BackendPool {
    shards: lift_shard::Shards<indexmap::IndexMap<net::SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    sender: backend_connection::Sender,
    since: time::Instant,
    until: time::Instant,
}

impl BackendPool {
    pub(crate) fn new() -> Self {
        Self {
            shards: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
        }
    }

    /// Takes the connection that was used last, if it has been idle for less than `max_idle`.
    pub(crate) fn take(
        &self,
        now: time::Instant,
        address: net::SocketAddr,
        max_idle: time::Duration,
    ) -> Option<backend_connection::Sender> {
        self.shards.with(&address, |pool| {
            let idle = pool.get_mut(&address)?;
            while let Some(connection) = idle.pop() {
                let is_recent = now.saturating_duration_since(connection.since) < max_idle;
                if now < connection.until && connection.sender.is_ready() {
                    if is_recent {
                        return Some(connection.sender);
                    }
                    // All others have been idle for longer.
                    idle.push(connection);
                    return None;
                }
            }
            None
        })
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn put(
        &self,
        now: time::Instant,
        address: net::SocketAddr,
        sender: backend_connection::Sender,
        keep_alive: Option<time::Duration>,
    ) {
        let keep = keep_alive.unwrap_or(DEFAULT_KEEP + KEEP_MARGIN);
        let until = now + keep.saturating_sub(KEEP_MARGIN);
        self.shards.with(&address, |pool| {
            let idle = pool.entry(address).or_default();
            if idle.len() < MAX_IDLE {
                idle.push(Idle {
                    sender,
                    since: now,
                    until,
                });
            }
        });
    }

    /// Closes connections that are of no more use.
    pub(crate) fn tidy(&self, now: time::Instant) {
        self.shards.for_each(|pool| {
            for idle in pool.values_mut() {
                idle.retain(|c| now < c.until && !c.sender.is_closed());
            }
            pool.retain(|_, idle| !idle.is_empty());
        });
    }
}
