//! A monotonic clock that continues while the host is suspended.
//!
//! [`now`] returns a `std::time::Instant` like `Instant::now()`, moved ahead by the time for
//! which the host was suspended since the process first called [`now`]. The operating system's
//! monotonic clock stands still in that time, so a lease or a confirmation that is checked
//! against it alone would seem valid after the host wakes up.

mod steady;

pub use steady::now;
