//! Pool of idle connections to backend servers.

use std::{net, time};

use crate::backend_connection;

/// Number of shards. More than the worker threads, to reduce lock contention.
const SHARDS: usize = 8;

/// Time for which an idle connection is kept if the backend server specifies none.
const DEFAULT_KEEP_ALIVE: time::Duration = time::Duration::from_secs(2);

/// Margin by which a connection expires before the time that the backend server specifies, so that
/// no request is sent while the backend server closes it.
const KEEP_ALIVE_MARGIN: time::Duration = time::Duration::from_millis(700);

/// Longest time for which an idle connection is kept, whatever the backend server specifies. No
/// request takes one that has been idle for longer.
const MAX_KEEP_ALIVE: time::Duration = time::Duration::from_secs(60);

/// Largest number of idle connections to one backend server.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// Idle connections, sharded by the backend server's address.
#[derive(Debug)]
pub(crate) struct BackendPool {
    shards: lift_shard::Shards<indexmap::IndexMap<net::SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: backend_connection::BackendConnection,
    idle_since: time::Instant,
    expires_at: time::Instant,
}

impl BackendPool {
    pub(crate) fn new() -> Self {
        Self {
            shards: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
        }
    }

    /// Takes the most recently used connection that is still open, if it has been idle for less
    /// than `max_idle`.
    pub(crate) fn take(
        &self,
        now: time::Instant,
        address: net::SocketAddr,
        max_idle: time::Duration,
    ) -> Option<backend_connection::BackendConnection> {
        self.shards.with(&address, |pool| {
            let idle = pool.get_mut(&address)?;
            while let Some(candidate) = idle.pop() {
                let is_recent = now.saturating_duration_since(candidate.idle_since) < max_idle;
                if now < candidate.expires_at && candidate.connection.is_ready() {
                    if is_recent {
                        return Some(candidate.connection);
                    }
                    // All other connections have been idle for longer.
                    idle.push(candidate);
                    return None;
                }
            }
            None
        })
    }

    /// Adds a connection whose last answer was read to its end. The connection is closed if
    /// there are too many already. `keep_alive` is the time for which the backend server keeps
    /// it open.
    pub(crate) fn put(
        &self,
        now: time::Instant,
        address: net::SocketAddr,
        connection: backend_connection::BackendConnection,
        keep_alive: Option<time::Duration>,
    ) {
        let keep_time = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE + KEEP_ALIVE_MARGIN);
        let keep_time = keep_time.min(MAX_KEEP_ALIVE);
        let expires_at = now + keep_time.saturating_sub(KEEP_ALIVE_MARGIN);
        self.shards.with(&address, |pool| {
            let idle = pool.entry(address).or_default();
            if idle.len() < MAX_IDLE_CONNECTIONS {
                idle.push(IdleConnection {
                    connection,
                    idle_since: now,
                    expires_at,
                });
            }
        });
    }

    /// Removes connections that have expired or were closed by the backend server.
    pub(crate) fn remove_expired(&self, now: time::Instant) {
        self.shards.for_each(|pool| {
            for idle in pool.values_mut() {
                idle.retain(|c| now < c.expires_at && !c.connection.is_closed());
            }
            pool.retain(|_, idle| !idle.is_empty());
        });
    }
}
