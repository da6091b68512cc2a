//! Pieces that turn bad between their check and the load.

use std::time;

use crate::{
    cast, operator_order, soak_error, soak_fleet, soak_options, soak_report, soak_run, soak_weights,
};

/// Time that each read of a staged piece takes. All of them one after the other take longer than
/// [`SPOILT_GRACE`].
const READ_TIME: time::Duration = time::Duration::from_millis(350);

/// Time for which a piece may have been spoilt when it is loaded.
const SPOILT_GRACE: time::Duration = time::Duration::from_secs(3);

const _: () = assert!(
    READ_TIME.as_millis() * soak_weights::PIECES as u128 > SPOILT_GRACE.as_millis(),
    "reads one after the other must take longer than a piece may have been spoilt"
);

/// Plays a naming while reads of the staging areas are slow and a piece of each turns bad right
/// after it was read. `options` gives the program and the seed of the callers; no other soak may
/// use the loopback network `network` meanwhile.
///
/// # Errors
///
/// Returns an error where the soak could not be played. Broken promises are in the report.
pub async fn run_spoilt_pieces(
    options: &soak_options::SoakOptions,
    network: u8,
) -> Result<soak_report::SoakReport, soak_error::SoakError> {
    let folder = tempfile::tempdir().map_err(|e| soak_error::SoakError::Io("folder", e))?;
    let cast = cast::Cast::new(network);
    let mut run = soak_run::SoakRun::start(cast, options, folder.path()).await?;
    let gateways: Vec<_> = cast.gateways().map(|ends| ends.public).collect();
    run.fleet.start_callers(options.seed, &gateways);
    let next = run.newest_weights() + 1;
    begin(&run.fleet, next);
    run.fleet.order(operator_order::OperatorOrder::NameWeights);
    let is_named =
        |run: &soak_run::SoakRun| run.newest_weights() >= next && run.has_newest_weights();
    if !run.until(soak_run::RECOVERY, is_named).await? {
        run.violate(format!("weights {next} named, not in place"));
    }
    run.until(soak_run::CALM, |_| false).await?;
    Ok(run.report(folder))
}

/// Slows down all reads of staged pieces, and lets one piece of `version` turn bad at each engine
/// right after it was read.
fn begin(fleet: &soak_fleet::SoakFleet, version: u64) {
    let engines = fleet.servers.values().filter_map(|s| s.engine.as_ref());
    for engine in engines {
        let mut engine = engine.lock();
        engine.read_time = READ_TIME;
        engine.spoilt_grace = SPOILT_GRACE;
        engine.spoilt_by_read = Some((version, 0));
    }
}
