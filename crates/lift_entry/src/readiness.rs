//! Reports the readiness of the entry to the platform.

use std::{sync, time};

use crate::shared;

/// Interval between checks of the readiness, well below the time after which a policy is no longer
/// confirmed.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Number of checks after which an unchanged readiness is reported again, in case the platform has
/// lost it.
const CHECKS_PER_REPORT: u32 = 50;

/// Reports each change of the readiness to the platform until the entry stops.
pub(crate) async fn report_changes(shared: sync::Arc<shared::Shared>) {
    let mut reported = None;
    let mut checks = 0;
    loop {
        let readiness = match shared.readiness() {
            Ok(()) => lift_border::Readiness::Ready,
            Err(_) => lift_border::Readiness::NotReady,
        };
        checks += 1;
        if reported != Some(readiness) || checks >= CHECKS_PER_REPORT {
            checks = 0;
            reported = report(&shared, readiness, reported).await;
        }
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = shared.stopped.cancelled() => return,
        }
    }
}

/// Reports the readiness to the platform once. `reported` is the readiness that was reported last.
/// Returns the readiness that the platform has now, or `None` if the report failed.
pub(crate) async fn report(
    shared: &shared::Shared,
    readiness: lift_border::Readiness,
    reported: Option<lift_border::Readiness>,
) -> Option<lift_border::Readiness> {
    match shared.platform.set_readiness(readiness).await {
        Ok(()) => {
            if reported != Some(readiness) {
                slog::info!(shared.logger, "readiness changed"; "readiness" => %readiness);
            }
            Some(readiness)
        }
        Err(_) => {
            shared.counters.increment("entry.platform_failed");
            None
        }
    }
}
