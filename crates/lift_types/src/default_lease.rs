//! Default time of leases.

use std::time;

/// Time of an agent's lease and of a grant where the settings name none. A load order must
/// end within it, so the default limit of an order is half of it. A new leader of control
/// grants nothing for as long.
pub const DEFAULT_LEASE: time::Duration = time::Duration::from_secs(30);
