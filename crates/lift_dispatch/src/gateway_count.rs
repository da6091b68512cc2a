//! Number of gateways that share a limit.

use std::time;

/// Time for which gateways that are no longer known still count. They may have used their parts of
/// a limit just before, or use them still while they are cut off.
const HOLD_TIME: time::Duration = time::Duration::from_secs(20);

/// Number of gateways between which a limit over all of them is divided.
///
/// If some are not known for a while, the others must not use their parts too. See
/// `docs/platform.md`.
#[derive(Clone, Debug, Default)]
pub struct GatewayCount {
    known: Option<u32>,
    earlier: Vec<EarlierCount>,
}

/// A number of gateways that was known earlier.
#[derive(Clone, Copy, Debug)]
struct EarlierCount {
    gateways: u32,
    held_until: time::Instant,
}

impl GatewayCount {
    /// Records that `gateways` gateways are known from `now` on. Returns the number that was known
    /// before, `None` for the first one.
    pub fn record(&mut self, now: time::Instant, gateways: u32) -> Option<u32> {
        let before = self.known.replace(gateways);
        if let Some(known) = before {
            self.earlier.push(EarlierCount {
                gateways: known,
                held_until: now + HOLD_TIME,
            });
        }
        self.earlier
            .retain(|earlier| earlier.gateways > gateways && earlier.held_until > now);
        before
    }

    /// The largest number that is known or was known a short time ago. `None` before the first one.
    pub fn largest(&self, now: time::Instant) -> Option<u32> {
        let held = self.earlier.iter().filter(|e| e.held_until > now);
        self.known.max(held.map(|e| e.gateways).max())
    }
}
