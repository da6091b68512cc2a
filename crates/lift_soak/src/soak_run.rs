//! The course of one soak.

use std::{path, sync::atomic, time};

use strum::IntoEnumIterator as _;

use crate::{
    cast, fault, fault_plan, operator_order, request_kind, soak_error, soak_fleet, soak_options,
    soak_report,
};

/// Time between two looks at processes and times.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Time in which the fleet must serve after its start.
const START_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Time in which the fleet must be whole again after the last fault: that of the users' sites,
/// and that for weights.
pub(crate) const RECOVERY: time::Duration = time::Duration::from_secs(20);

/// Time after that in which the last links are opened and health is known again.
const SETTLE: time::Duration = time::Duration::from_secs(5);

/// Time for which requests are counted after the recovery.
pub(crate) const CALM: time::Duration = time::Duration::from_secs(3);

/// Least part of the requests with a lasting key that must be served then, in percent.
const LEAST_SERVED_PERCENT: u64 = 95;

/// Planned stops in a series.
const STOPS: usize = 3;

/// Time after a planned stop in which its process must be back.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(12);

type Result<T> = std::result::Result<T, soak_error::SoakError>;

/// Plays one soak on the loopback network `network`, which no other soak may use meanwhile.
///
/// # Errors
///
/// Returns an error where the soak could not be played. Broken promises are in the report.
pub async fn run(
    options: &soak_options::SoakOptions,
    network: u8,
) -> Result<soak_report::SoakReport> {
    let folder = tempfile::tempdir().map_err(|e| soak_error::SoakError::Io("folder", e))?;
    let cast = cast::Cast::new(network);
    let mut run = SoakRun::start(cast, options, folder.path()).await?;
    let gateways: Vec<_> = cast.gateways().map(|ends| ends.public).collect();
    run.fleet.start_callers(options.seed, &gateways);
    run.suffer(options).await?;
    run.recover().await?;
    run.stop_in_series(options.seed).await?;
    run.leave().await?;
    Ok(run.report(folder))
}

/// A soak that is played.
pub(crate) struct SoakRun {
    pub(crate) fleet: soak_fleet::SoakFleet,
    /// Faults so far, with their time in milliseconds.
    pub(crate) faults: Vec<(u64, fault::Fault)>,
}

impl SoakRun {
    /// Starts a fleet and waits until it can serve.
    pub(crate) async fn start(
        cast: cast::Cast,
        options: &soak_options::SoakOptions,
        folder: &path::Path,
    ) -> Result<Self> {
        let fleet = soak_fleet::SoakFleet::start(cast, &options.program, folder).await?;
        let mut run = Self {
            fleet,
            faults: Vec::new(),
        };
        run.come_up(cast, folder).await?;
        Ok(run)
    }

    /// Ends the fleet and reports what was seen. The logs in `folder` stay if a promise was broken.
    pub(crate) fn report(self, folder: tempfile::TempDir) -> soak_report::SoakReport {
        let oracle = std::sync::Arc::clone(&self.fleet.oracle);
        drop(self.fleet);
        let violations = oracle.violations();
        let count = |count: &atomic::AtomicU64| count.load(atomic::Ordering::Relaxed);
        soak_report::SoakReport {
            faults: self.faults,
            served: count(&oracle.served),
            refused: count(&oracle.refused),
            failed: count(&oracle.failed),
            logs: (!violations.is_empty()).then(|| folder.keep()),
            violations,
        }
    }

    /// Waits until a first configuration and first weights are in place.
    async fn come_up(&mut self, cast: cast::Cast, folder: &path::Path) -> Result<()> {
        self.fleet.order(operator_order::OperatorOrder::Change);
        self.fleet.order(operator_order::OperatorOrder::NameWeights);
        let is_up = self.until(START_LIMIT, Self::has_newest_weights).await?;
        if !is_up {
            return Err(soak_error::SoakError::Start(START_LIMIT.as_secs()));
        }
        self.fleet.settle_settings(cast, folder)
    }

    /// Injects the faults of the seed.
    async fn suffer(&mut self, options: &soak_options::SoakOptions) -> Result<()> {
        let started = time::Instant::now();
        let mut steps: Vec<(time::Duration, bool, fault::Fault)> = Vec::new();
        for planned in fault_plan::plan(options.seed, options.length) {
            steps.push((planned.at, true, planned.fault));
            steps.push((planned.at + planned.lasts, false, planned.fault));
        }
        steps.sort_by_key(|(at, _, _)| *at);
        for (at, begins, fault) in steps.into_iter().filter(|(at, ..)| *at < options.length) {
            let due = started + at;
            self.until(due.saturating_duration_since(time::Instant::now()), |_| {
                false
            })
            .await?;
            if begins {
                self.faults.push((at.as_millis() as u64, fault));
                self.fleet.begin(fault)?;
            } else {
                self.fleet.end(fault)?;
            }
        }
        self.fleet.heal()
    }

    /// Waits until the fleet is whole, and counts what it serves then.
    async fn recover(&mut self) -> Result<()> {
        self.until(RECOVERY, Self::has_newest_weights).await?;
        self.until(SETTLE, |_| false).await?;
        if !self.has_newest_weights() {
            let newest = self.newest_weights();
            let held = self.fleet.servers.values().map(|s| s.version());
            let held: Vec<u64> = held.collect();
            self.violate(format!("weights {newest} named, {held:?} in place"));
        }
        let document = self.fleet.oracle.newest();
        let text = self.read_document().await;
        if text.is_none_or(|read| read < document) {
            self.violate(format!(
                "configuration {text:?} read at the end, not {document}"
            ));
        }
        self.fleet.callers.take_counts();
        self.until(CALM, |_| false).await?;
        let counts = self.fleet.callers.take_counts();
        for kind in request_kind::RequestKind::iter() {
            let count = counts.get(&kind).copied().unwrap_or_default();
            if count.served * 100 < count.sent * LEAST_SERVED_PERCENT || count.sent == 0 {
                let kind = <&str>::from(kind);
                self.violate(format!("{count:?} of {kind} after the recovery"));
            }
        }
        Ok(())
    }

    /// Stops some processes one after the other as planned. No request may be cut.
    async fn stop_in_series(&mut self, seed: u64) -> Result<()> {
        let calm = |run: &Self, is_calm| {
            let flag = &run.fleet.callers.is_calm;
            flag.store(is_calm, atomic::Ordering::Relaxed);
        };
        calm(self, true);
        let hosts: Vec<u8> = cast::Cast::hosts().collect();
        for i in 0..STOPS {
            let host = hosts[(seed as usize + i) % hosts.len()];
            self.fleet.begin(fault::Fault::Stop(host))?;
            let is_back = |run: &Self| run.fleet.hosts.get(&host).is_some_and(|h| h.is_up());
            if !self.until(STOP_LIMIT, is_back).await? {
                self.violate(format!(
                    "host {host} does not come back from a planned stop"
                ));
            }
            self.until(CALM, |_| false).await?;
        }
        calm(self, false);
        Ok(())
    }

    /// Lets a server leave. No request may reach it later than its drain time.
    async fn leave(&mut self) -> Result<()> {
        let host = cast::Cast::plain(0);
        self.fleet.begin(fault::Fault::Leave(host))?;
        let Some(server) = self.fleet.servers.get(&host).cloned() else {
            return Ok(());
        };
        let is_released = |_: &Self| server.released_at.lock().is_some();
        if !self.until(RECOVERY, is_released).await? {
            self.violate(String::from("the leave of a server is not acknowledged"));
        }
        self.until(soak_fleet::DRAIN, |_| false).await?;
        let before = server.runs();
        self.until(CALM / 2, |_| false).await?;
        if server.runs() != before {
            self.violate(String::from("requests reach a server after its drain time"));
        }
        Ok(())
    }

    /// Looks after the fleet until `is_done` or `limit`. Returns whether it is done.
    pub(crate) async fn until(
        &mut self,
        limit: time::Duration,
        is_done: impl Fn(&Self) -> bool,
    ) -> Result<bool> {
        let started = time::Instant::now();
        loop {
            self.fleet.look()?;
            if is_done(self) {
                return Ok(true);
            }
            let left = limit.saturating_sub(started.elapsed());
            if left.is_zero() {
                return Ok(false);
            }
            tokio::time::sleep(left.min(LOOK_INTERVAL)).await;
        }
    }

    async fn read_document(&self) -> Option<u64> {
        for _ in 0..10 {
            let text = self.fleet.calls.get(lift_peer::paths::DOCUMENT).await;
            if let Some(version) = text.and_then(|t| lift_peer::DocumentText::version_of(&t)) {
                return Some(version);
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        None
    }

    pub(crate) fn newest_weights(&self) -> u64 {
        self.fleet.weights.load(atomic::Ordering::Relaxed)
    }

    pub(crate) fn has_newest_weights(&self) -> bool {
        let newest = self.newest_weights();
        let mut engines = self.fleet.servers.values().filter(|s| s.engine.is_some());
        newest > 0 && engines.all(|server| server.version() >= newest)
    }

    pub(crate) fn violate(&self, what: String) {
        self.fleet.oracle.violate(what);
    }
}
