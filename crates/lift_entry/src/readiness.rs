//! Tells the platform whether this entry takes new work.

use std::{sync, time};

use crate::shared;

/// Time between two looks, well below the time in which a policy loses its confirmation.
const INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Looks after which the platform is told again, in case it has forgotten.
const LOOKS_PER_REPEAT: u32 = 50;

/// Tells the platform of each change until the entry stops.
pub(crate) async fn report(shared: sync::Arc<shared::Shared>) {
    let mut told = None;
    let mut looks = 0;
    loop {
        let readiness = match shared.readiness() {
            Ok(()) => lift_border::Readiness::Ready,
            Err(_) => lift_border::Readiness::NotReady,
        };
        looks += 1;
        if told != Some(readiness) || looks >= LOOKS_PER_REPEAT {
            looks = 0;
            told = tell(&shared, readiness, told).await;
        }
        tokio::select! {
            () = tokio::time::sleep(INTERVAL) => {}
            () = shared.stopped.cancelled() => return,
        }
    }
}

/// Tells the platform once. Returns what it was told last.
pub(crate) async fn tell(
    shared: &shared::Shared,
    readiness: lift_border::Readiness,
    told: Option<lift_border::Readiness>,
) -> Option<lift_border::Readiness> {
    match shared.platform.set_readiness(readiness).await {
        Ok(()) => {
            if told != Some(readiness) {
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
