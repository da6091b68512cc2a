//! The course of one retry storm.

use std::{sync, time};

use sync::atomic;

use crate::{cast, retry_book, soak_error, storm_caller, storm_fleet, storm_options, storm_report};

/// Time in which all gateways must be ready after the start.
const START_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Time between two looks at processes.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Plays one retry storm on the loopback network `network`, which no other soak may use meanwhile.
/// Callers send 60 requests a second that may run more than once.
///
/// # Errors
///
/// Returns an error where it could not be played.
pub async fn run(
    options: &storm_options::StormOptions,
    network: u8,
) -> Result<storm_report::StormReport, soak_error::SoakError> {
    let folder = tempfile::tempdir().map_err(|e| soak_error::SoakError::Io("folder", e))?;
    let cast = cast::Cast::new(network);
    let book = sync::Arc::new(retry_book::RetryBook::default());
    let starting = storm_fleet::StormFleet::start(cast, options, folder.path(), &book);
    let started = tokio::time::timeout(START_LIMIT, starting).await;
    let not_started = soak_error::SoakError::Start(START_LIMIT.as_secs());
    let mut fleet = started.map_err(|_| not_started)??;
    wait_until_ready(&fleet).await?;
    fleet.settle_settings()?;
    let callers = sync::Arc::new(storm_caller::StormCallers {
        book: sync::Arc::clone(&book),
        gateways: fleet.gateways(),
        served: atomic::AtomicU64::new(0),
    });
    tokio::spawn(storm_caller::run(sync::Arc::clone(&callers), options.seed));
    tokio::time::sleep(options.warm_up).await;
    fleet.fail_servers();
    let restarts = restart_in_series(&mut fleet, options).await?;
    Ok(storm_report::StormReport {
        arrived: book.arrived(),
        served: callers.served.load(atomic::Ordering::Relaxed),
        restarts,
        worst_window: book.worst_window(),
    })
}

/// Waits until all gateways are ready.
pub(crate) async fn wait_until_ready(
    fleet: &storm_fleet::StormFleet,
) -> Result<(), soak_error::SoakError> {
    let until = time::Instant::now() + START_LIMIT;
    while !fleet.is_ready().await {
        if time::Instant::now() > until {
            return Err(soak_error::SoakError::Start(START_LIMIT.as_secs()));
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    Ok(())
}

/// Lets processes start anew until the end. Returns how many did.
async fn restart_in_series(
    fleet: &mut storm_fleet::StormFleet,
    options: &storm_options::StormOptions,
) -> Result<u64, soak_error::SoakError> {
    let end = time::Instant::now() + options.length;
    let mut due = time::Instant::now() + options.restart_interval;
    let mut restarts = 0;
    let mut number = 0;
    while time::Instant::now() < end {
        fleet.look()?;
        if time::Instant::now() >= due {
            restarts += fleet.restart(options.restart, number)?;
            number += 1;
            due += options.restart_interval;
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    Ok(restarts)
}
