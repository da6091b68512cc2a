//! Sizes of the protocol.

/// Bounds on messages and on the log held in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Size of the entries in one message, in bytes.
    pub append_bytes: usize,
    /// Size of the entries sent to one follower without reply, in bytes. 256 KiB take
    /// about 100 ms on a link of 20 Mbit/s, so that heartbeats are not late behind them.
    pub in_flight_bytes: usize,
    /// Messages with entries sent to one follower without reply. Proposals that arrive
    /// meanwhile share the next message.
    pub in_flight_messages: usize,
    /// Size of one part of a snapshot, in bytes.
    pub snapshot_part_bytes: usize,
    /// Entries since the last snapshot that lead to a new one.
    pub snapshot_after_entries: u64,
    /// Size of the held entries that leads to a new snapshot, in bytes.
    pub snapshot_after_bytes: usize,
    /// Size of the held entries, in percent of the last snapshot, below which no new one is
    /// taken. Without it a large state would be encoded again after few changes.
    pub snapshot_after_percent: usize,
    /// Entries before a snapshot that are kept for slow followers.
    pub keep_entries: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            append_bytes: 64 * 1024,
            in_flight_bytes: 256 * 1024,
            in_flight_messages: 8,
            snapshot_part_bytes: 128 * 1024,
            snapshot_after_entries: 100_000,
            snapshot_after_bytes: 64 * 1024 * 1024,
            snapshot_after_percent: 100,
            keep_entries: 10_000,
        }
    }
}
