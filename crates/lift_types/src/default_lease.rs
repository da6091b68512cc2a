//! Default duration of leases.

use std::time;

/// Duration of an agent's lease and of a grant if the settings give none. A load order must
/// finish before the grant expires, so the default time limit of an order is half of it. A
/// new leader of control issues no leases or grants for this long plus a clock margin, unless
/// no agent has ever registered.
pub const DEFAULT_LEASE: time::Duration = time::Duration::from_secs(30);
