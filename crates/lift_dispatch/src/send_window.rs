//! Requests that were sent a short time ago.

use std::{collections, time};

/// Largest difference between the times that two requests take to arrive which the limit allows
/// for. Links take milliseconds, but a gateway may be suspended for most of a scheduling period of
/// 100 ms between the selection and the write to the socket.
const TRANSIT_SPREAD: time::Duration = time::Duration::from_millis(150);

/// Requests that arrive within one second were sent within this time.
pub(crate) const WINDOW: time::Duration =
    time::Duration::from_secs(1).saturating_add(TRANSIT_SPREAD);

/// Times of the requests that this gateway has sent to one backend server within [`WINDOW`].
///
/// The window slides with the time of each request, so idle time does not add to the share.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendWindow {
    /// In ascending order.
    sent: collections::VecDeque<time::Instant>,
}

impl SendWindow {
    /// Whether fewer than `share` requests were sent in the window that ends at `now`.
    pub(crate) fn has_place(&self, now: time::Instant, share: u32) -> bool {
        let share = usize::try_from(share).unwrap_or(usize::MAX);
        match self.sent.len().checked_sub(share) {
            None => true,
            Some(position) => {
                let blocking = self.sent.get(position);
                blocking.is_some_and(|sent| now.saturating_duration_since(*sent) >= WINDOW)
            }
        }
    }

    /// Records a request that is sent at `now`.
    pub(crate) fn record(&mut self, now: time::Instant) {
        while let Some(oldest) = self.sent.front()
            && now.saturating_duration_since(*oldest) >= WINDOW
        {
            self.sent.pop_front();
        }
        // Threads may record in another order than that of their times.
        let latest = self.sent.back().map_or(now, |latest| now.max(*latest));
        self.sent.push_back(latest);
    }

    /// Removes a request that was recorded at `sent_at` or shortly before.
    pub(crate) fn remove(&mut self, sent_at: time::Instant) {
        let position = self.sent.iter().rposition(|sent| *sent <= sent_at);
        if let Some(position) = position {
            self.sent.remove(position);
        }
    }
}
