//! The course of a soak of planned work.

use std::{sync::atomic, time};

use crate::{cast, soak_caller, soak_error, soak_options, soak_report, soak_run, work_plan};

/// Time after the last work in which all processes are back.
const SETTLE: time::Duration = time::Duration::from_secs(10);

/// Plays a soak of nothing but planned work, in which no request may end without an answer, on the
/// loopback network `network`, which no other soak may use meanwhile. Sound backend servers fall
/// silent now and then.
///
/// # Errors
///
/// Returns an error where the soak could not be played. Broken promises are in the report.
pub async fn run_planned(
    options: &soak_options::SoakOptions,
    network: u8,
) -> Result<soak_report::SoakReport, soak_error::SoakError> {
    let folder = tempfile::tempdir().map_err(|e| soak_error::SoakError::Io("folder", e))?;
    let cast = cast::Cast::new(network);
    let mut run = soak_run::SoakRun::start(cast, options, folder.path()).await?;
    for server in run.fleet.servers.values() {
        server.may_be_silent.store(true, atomic::Ordering::Relaxed);
    }
    let callers = std::sync::Arc::clone(&run.fleet.callers);
    callers.is_calm.store(true, atomic::Ordering::Relaxed);
    // A forwarder accepts connections that its gateway does not, and drops them later.
    let gateways: Vec<_> = cast.gateways().map(|ends| ends.own).collect();
    run.fleet.start_callers(options.seed, &gateways);
    let started = time::Instant::now();
    for (at, work) in work_plan::plan(options.seed, options.length) {
        let left = at.saturating_sub(started.elapsed());
        run.until(left, |_| false).await?;
        run.faults.push((at.as_millis() as u64, work));
        run.fleet.begin(work)?;
    }
    run.until(SETTLE, |_| false).await?;
    callers.is_calm.store(false, atomic::Ordering::Relaxed);
    run.until(soak_caller::PATIENCE, |_| false).await?;
    Ok(run.report(folder))
}
