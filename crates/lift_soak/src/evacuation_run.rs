//! The course of a soak in which a failure domain is evacuated and restored.

use std::time;

use rand::{RngExt as _, SeedableRng as _};

use crate::{
    cast, fault, operator_order, process_settings, soak_error, soak_options, soak_report, soak_run,
};

/// Evacuations of one run, each followed by a restoration.
const ROUNDS: usize = 2;

/// Time in which an operator must be answered, with faults of control meanwhile.
const ACK_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Shortest and longest time between two faults, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 100..1_200;

/// Shortest and longest duration of a fault, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 200..2_000;

/// Plays evacuations during faults of gateways and control members, on the loopback network
/// `network`, which no other soak may use meanwhile. No request may reach a server of the evacuated
/// failure domain once the time for that is over, and requests must reach it again after its
/// restoration.
///
/// # Errors
///
/// Returns an error where the soak could not be played. Broken promises are in the report.
pub async fn run_evacuations(
    options: &soak_options::SoakOptions,
    network: u8,
) -> Result<soak_report::SoakReport, soak_error::SoakError> {
    let folder = tempfile::tempdir().map_err(|e| soak_error::SoakError::Io("folder", e))?;
    let cast = cast::Cast::new(network);
    let mut run = soak_run::SoakRun::start(cast, options, folder.path()).await?;
    let gateways: Vec<_> = cast.gateways().map(|ends| ends.public).collect();
    run.fleet.start_callers(options.seed, &gateways);
    let mut rng = rand::rngs::StdRng::seed_from_u64(options.seed);
    for round in 0..ROUNDS {
        // Faults begin with the order, so that they strike its acknowledgement as well.
        run.fleet.order(operator_order::OperatorOrder::Evacuate);
        suffer(&mut run, &mut rng, options.length, round == 0).await?;
        run.fleet.heal()?;
        let is_evacuated = |run: &soak_run::SoakRun| run.fleet.oracle.evacuated_for().is_some();
        if !run.until(ACK_LIMIT, is_evacuated).await? {
            run.violate(String::from("an evacuation is not acknowledged"));
            break;
        }
        let is_due = |run: &soak_run::SoakRun| {
            let due = time::Duration::from_millis(process_settings::EVACUATE_MS);
            run.fleet
                .oracle
                .evacuated_for()
                .is_some_and(|age| age > due)
        };
        run.until(ACK_LIMIT, is_due).await?;
        // The oracle sees what still arrives.
        run.until(soak_run::CALM, |_| false).await?;
        let before = evacuated_runs(&run);
        run.fleet.order(operator_order::OperatorOrder::Restore);
        let is_used = |run: &soak_run::SoakRun| evacuated_runs(run) > before;
        if !run.until(soak_run::RECOVERY, is_used).await? {
            run.violate(String::from("a restored failure domain gets no requests"));
        }
    }
    Ok(run.report(folder))
}

/// Injects faults of gateways and control members for `length`. One disk is lost if `may_wipe`.
async fn suffer(
    run: &mut soak_run::SoakRun,
    rng: &mut rand::rngs::StdRng,
    length: time::Duration,
    mut may_wipe: bool,
) -> Result<(), soak_error::SoakError> {
    let started = time::Instant::now();
    loop {
        let gap = time::Duration::from_millis(rng.random_range(GAP_MS));
        run.until(gap, |_| false).await?;
        if started.elapsed() >= length {
            return Ok(());
        }
        let fault = draw(rng, &mut may_wipe);
        run.faults
            .push((started.elapsed().as_millis() as u64, fault));
        run.fleet.begin(fault)?;
        let lasts = time::Duration::from_millis(rng.random_range(DURATION_MS));
        run.until(lasts, |_| false).await?;
        run.fleet.end(fault)?;
    }
}

fn draw(rng: &mut rand::rngs::StdRng, may_wipe: &mut bool) -> fault::Fault {
    let control = cast::Cast::control(rng.random_range(0..cast::CONTROLS));
    let gateway = cast::Cast::gateway(rng.random_range(0..cast::GATEWAYS));
    let host = if rng.random() { control } else { gateway };
    match rng.random_range(0..8) {
        0 | 1 => fault::Fault::Kill(host),
        2 | 3 => fault::Fault::Pause(host),
        4 => fault::Fault::Stop(host),
        5 => fault::Fault::Reset(host),
        6 if std::mem::take(may_wipe) => fault::Fault::Wipe(control),
        _ => fault::Fault::KillAll,
    }
}

/// Requests that servers of the evacuated failure domain have run.
fn evacuated_runs(run: &soak_run::SoakRun) -> u64 {
    let servers = run.fleet.servers.values();
    let evacuated = servers.filter(|s| s.text().failure_domain == cast::EVACUATED_DOMAIN);
    evacuated.map(|server| server.runs()).sum()
}
