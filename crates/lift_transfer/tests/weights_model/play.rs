//! A version and the links that carry it.

use std::time;

use super::{LIVE_SHARE, UPLOAD_SHARE};

/// A version and the links that carry it.
#[derive(Clone, Debug)]
pub struct Play {
    pub agents: u32,
    pub pieces: u32,
    pub piece_bytes: u32,
    /// Rates in bytes per second.
    pub origin_rate: f64,
    pub host_rate: f64,
    /// Hosts whose link has a quarter of the rate.
    pub narrow: Vec<u32>,
    pub connections: usize,
    /// Time from the naming in which the origin answers nothing.
    pub away: Option<(time::Duration, time::Duration)>,
    /// Each read of the origin with this number is corrupt.
    pub corrupt_every: u32,
    /// Pieces that all agents hold at the start.
    pub shared: u32,
    pub seed: u64,
}

impl Play {
    pub fn first() -> Self {
        Self {
            agents: 52,
            pieces: 96,
            piece_bytes: 24_576,
            origin_rate: 4.38e6 / 8.0,
            host_rate: 7.3e6 / 8.0,
            ..Self::second()
        }
    }

    pub fn second() -> Self {
        Self {
            agents: 34,
            pieces: 48,
            piece_bytes: 49_152,
            origin_rate: 9.0e6 / 8.0,
            host_rate: 9.4e6 / 8.0,
            narrow: Vec::new(),
            connections: 48,
            away: None,
            corrupt_every: u32::MAX,
            shared: 0,
            seed: 1,
        }
    }

    pub(super) fn host_rate_of(&self, host: u32) -> f64 {
        match self.narrow.contains(&host) {
            true => self.host_rate / 4.0,
            false => self.host_rate,
        }
    }

    /// Time of one copy over the slowest link. The link of a host carries pieces at the rate of its
    /// pacer while live requests run, which they do all the time.
    pub fn copy_time(&self) -> time::Duration {
        let bytes = f64::from(self.piece_bytes) * f64::from(self.pieces);
        time::Duration::from_secs_f64(
            bytes
                / self
                    .origin_rate
                    .min(self.host_rate * UPLOAD_SHARE * LIVE_SHARE),
        )
    }
}
