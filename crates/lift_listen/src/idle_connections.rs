//! Connections of a listener that wait for a request.

use std::{
    sync::{Arc, atomic},
    time,
};

use tokio_util::sync;

/// Time between two log lines about a full listener.
const LOG_INTERVAL: time::Duration = time::Duration::from_secs(10);

/// Divisor of the usual connections that gives how many more may be open while others are being
/// closed.
const SPARE_DIVISOR: usize = 8;

/// Identifier of a connection of one listener.
pub(crate) type ConnectionId = u64;

/// Closes the connection that has waited longest for a request when a listener has more
/// connections than it should have, so that silent callers don't keep others out.
#[derive(Debug)]
pub struct IdleConnections {
    name: &'static str,
    max_connections: usize,
    open: atomic::AtomicUsize,
    next_id: atomic::AtomicU64,
    /// Longest idle first.
    idle: parking_lot::Mutex<indexmap::IndexMap<ConnectionId, sync::CancellationToken>>,
    logged_at: parking_lot::Mutex<Option<time::Instant>>,
    counters: Arc<lift_obs::Counters>,
    log: slog::Logger,
}

impl IdleConnections {
    /// Creates the record of a listener. `name` is used in the log and in the counter
    /// `connections_closed.NAME`.
    pub fn new(
        name: &'static str,
        max_connections: usize,
        counters: Arc<lift_obs::Counters>,
        log: slog::Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            name,
            max_connections,
            open: atomic::AtomicUsize::new(0),
            next_id: atomic::AtomicU64::new(0),
            idle: parking_lot::Mutex::default(),
            logged_at: parking_lot::Mutex::default(),
            counters,
            log,
        })
    }

    /// Most connections that may be accepted, with those that are being closed.
    pub fn accept_limit(&self) -> usize {
        self.max_connections + self.max_connections / SPARE_DIVISOR + 1
    }

    /// Records a new connection, and closes an idle one if there are too many. The token is
    /// cancelled when the connection is to be closed.
    pub(crate) fn open(&self) -> (ConnectionId, sync::CancellationToken) {
        let open = self.open.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        if open > self.max_connections {
            self.close_oldest(open);
        }
        let id = self.next_id.fetch_add(1, atomic::Ordering::Relaxed);
        let closing = sync::CancellationToken::new();
        self.wait(id, closing.clone());
        (id, closing)
    }

    /// Records that a connection waits for a request.
    pub(crate) fn wait(&self, id: ConnectionId, closing: sync::CancellationToken) {
        self.idle.lock().insert(id, closing);
    }

    /// Records that a connection has a request.
    pub(crate) fn start_request(&self, id: ConnectionId) {
        self.idle.lock().shift_remove(&id);
    }

    /// Records the end of a connection.
    pub(crate) fn close(&self, id: ConnectionId) {
        self.idle.lock().shift_remove(&id);
        self.open.fetch_sub(1, atomic::Ordering::Relaxed);
    }

    fn close_oldest(&self, open: usize) {
        let oldest = self.idle.lock().shift_remove_index(0);
        if let Some((_, closing)) = oldest {
            closing.cancel();
        }
        self.counters
            .increment_member("connections_closed", self.name);
        let now = time::Instant::now();
        let mut logged_at = self.logged_at.lock();
        if logged_at.is_some_and(|at| now - at < LOG_INTERVAL) {
            return;
        }
        *logged_at = Some(now);
        slog::warn!(self.log, "listener full, closing idle connections"; "listener" => self.name,
            "connections" => open, "limit" => self.max_connections);
    }
}
