//! Pieces that turn bad between their check and the load.

use std::time;

use crate::{soak_fleet, soak_weights};

/// Time that each read of a staged piece takes. All of them one after the other take longer than
/// [`SPOILT_GRACE`].
const READ_TIME: time::Duration = time::Duration::from_millis(350);

/// Time for which a piece may have been spoilt when it is loaded.
const SPOILT_GRACE: time::Duration = time::Duration::from_secs(3);

const _: () = assert!(
    READ_TIME.as_millis() * soak_weights::PIECES as u128 > SPOILT_GRACE.as_millis(),
    "reads one after the other must take longer than a piece may have been spoilt"
);

/// Slows down all reads of staged pieces, and lets one piece of `version` turn bad at each engine
/// right after it was read.
pub(crate) fn begin(fleet: &soak_fleet::SoakFleet, version: u64) {
    let engines = fleet.servers.values().filter_map(|s| s.engine.as_ref());
    for engine in engines {
        let mut engine = engine.lock();
        engine.read_time = READ_TIME;
        engine.spoilt_grace = SPOILT_GRACE;
        engine.spoilt_by_read = Some((version, 0));
    }
}
