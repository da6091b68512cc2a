//! Whether the origin answers.

use std::time;

use rand::RngExt as _;

/// Average time between two probes. A probe opens a connection and sends nothing.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(150);

/// Average time between two probes once the origin has been away for [`LONG_ABSENCE`].
const LONG_PROBE_INTERVAL: time::Duration = time::Duration::from_millis(600);

/// Time after which the origin is probed less often.
const LONG_ABSENCE: time::Duration = time::Duration::from_secs(15);

/// Whether the origin answers, as far as one agent knows, and when to probe it if not.
///
/// While it is away nothing is read from it. Many reads that wait for its return would begin at the
/// same moment, share its link, and all end late.
#[derive(Clone, Debug, Default)]
pub struct OriginWatch {
    /// First failure since the last answer.
    away_since: Option<time::Instant>,
    is_away: bool,
    /// Times since the last answer that the origin counted as away and accepted a connection.
    returns: u32,
}

impl OriginWatch {
    /// Whether the origin may be read.
    pub fn answers(&self) -> bool {
        !self.is_away
    }

    /// Records that a read or a connection failed. Returns whether the origin counts as away only
    /// from now on; it is to be probed then.
    pub fn record_failure(&mut self, now: time::Instant) -> bool {
        self.away_since.get_or_insert(now);
        !std::mem::replace(&mut self.is_away, true)
    }

    /// Records that the origin accepts connections, and returns for how long it has been away. The
    /// absence ends with an answer only: the origin may accept a connection and refuse the read.
    pub fn record_reached(&mut self, now: time::Instant) -> time::Duration {
        if std::mem::take(&mut self.is_away) {
            self.returns = self.returns.saturating_add(1);
        }
        let since = self.away_since.unwrap_or(now);
        now.saturating_duration_since(since)
    }

    /// Records that a read was answered. While the origin is away that is an answer to a
    /// read that began before, and the absence goes on.
    pub fn record_answer(&mut self) {
        if !self.is_away {
            self.away_since = None;
            self.returns = 0;
        }
    }

    /// Returns the time until the first probe of an absence. An origin that accepts connections but
    /// refuses reads is probed and read less and less often, or each refusal would at once lead to
    /// the next read.
    pub fn first_probe(&self, rng: &mut dyn rand::Rng) -> time::Duration {
        let Some(doublings) = self.returns.checked_sub(1) else {
            return time::Duration::ZERO;
        };
        let interval = PROBE_INTERVAL.saturating_mul(2_u32.saturating_pow(doublings));
        interval
            .min(LONG_PROBE_INTERVAL)
            .mul_f64(rng.random_range(0.5..1.5))
    }

    /// Returns the time until the next probe. It is random, so that the agents of a fleet don't
    /// connect at the same moment.
    pub fn next_probe(&self, now: time::Instant, rng: &mut dyn rand::Rng) -> time::Duration {
        let since = self.away_since.unwrap_or(now);
        let interval = match now.saturating_duration_since(since) >= LONG_ABSENCE {
            true => LONG_PROBE_INTERVAL,
            false => PROBE_INTERVAL,
        };
        interval.mul_f64(rng.random_range(0.5..1.5))
    }
}
