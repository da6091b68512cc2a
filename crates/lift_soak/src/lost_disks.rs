//! Control members that are all killed right after an acknowledgement, one of which loses its disk.

use std::{net, path, time};

use rand::{RngExt as _, SeedableRng as _};

use crate::{
    cast, control_calls, host_link, lost_disks_report, process_settings, soak_error, soak_options,
    soak_process, soak_server,
};

/// Time in which a change must be acknowledged, and read back after all members were killed.
const ANSWER_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Pause before a call without an answer is made again.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Longest time from an acknowledgement until all members are killed, in milliseconds.
const MOST_DELAY_MS: u64 = 30;

/// Longest time for which a killed member is down, in milliseconds.
const MOST_DOWN_MS: u64 = 900;

/// Time in which a member with an empty disk is a voter again: a lost disk counts as long.
const CATCH_UP: time::Duration = time::Duration::from_secs(6);

/// Time in which a process that can't open its listener ends.
const END_LIMIT: time::Duration = time::Duration::from_secs(5);

type Result<T> = std::result::Result<T, soak_error::SoakError>;

/// Kills all control members again and again, right after one has acknowledged a document. One of
/// them loses its disk, and now and then another one can't open its listener at first. The
/// document must be read back. Uses the loopback network `network`, as [`crate::run`] does.
///
/// # Errors
///
/// Returns an error where the run could not be played. Broken promises are in the report.
pub async fn run_lost_disks(
    options: &soak_options::SoakOptions,
    network: u8,
) -> Result<lost_disks_report::LostDisksReport> {
    let folder = tempfile::tempdir().map_err(|e| soak_error::SoakError::Io("folder", e))?;
    let mut run = LostDisks::start(options, network, folder.path()).await?;
    let started = time::Instant::now();
    let mut rounds = 0;
    while started.elapsed() < options.length && run.violations.is_empty() {
        rounds += 1;
        run.play_round().await?;
    }
    let violations = std::mem::take(&mut run.violations);
    drop(run);
    Ok(lost_disks_report::LostDisksReport {
        rounds,
        logs: (!violations.is_empty()).then(|| folder.keep()),
        violations,
    })
}

struct LostDisks {
    cast: cast::Cast,
    rng: rand::rngs::StdRng,
    calls: control_calls::ControlCalls,
    processes: Vec<soak_process::SoakProcess>,
    _links: Vec<host_link::HostLink>,
    version: u64,
    violations: Vec<String>,
}

impl LostDisks {
    async fn start(
        options: &soak_options::SoakOptions,
        network: u8,
        folder: &path::Path,
    ) -> Result<Self> {
        let cast = cast::Cast::new(network);
        let mut run = Self {
            cast,
            rng: rand::rngs::StdRng::seed_from_u64(options.seed),
            calls: control_calls::ControlCalls::new(cast),
            processes: Vec::new(),
            _links: Vec::new(),
            version: 0,
            violations: Vec::new(),
        };
        for host in run.members() {
            run._links
                .push(host_link::HostLink::start(cast, host).await?);
            let own = folder.join(format!("h{host}"));
            let process = soak_process::SoakProcess::new(options.program.clone(), own);
            run.processes.push(process);
        }
        run.write_settings(folder, true)?;
        run.start_all()?;
        run.change().await;
        run.write_settings(folder, false)?;
        Ok(run)
    }

    fn members(&self) -> impl Iterator<Item = u8> + use<> {
        (0..cast::CONTROLS).map(cast::Cast::control)
    }

    fn write_settings(&self, folder: &path::Path, is_first_start: bool) -> Result<()> {
        for (host, process) in self.members().zip(&self.processes) {
            let own = folder.join(format!("h{host}"));
            process_settings::write(self.cast, host, is_first_start, &own, &process.data())?;
        }
        Ok(())
    }

    fn start_all(&mut self) -> Result<()> {
        self.processes
            .iter_mut()
            .try_for_each(soak_process::SoakProcess::start)
    }

    async fn play_round(&mut self) -> Result<()> {
        self.change().await;
        self.pause(MOST_DELAY_MS).await;
        self.processes
            .iter_mut()
            .for_each(soak_process::SoakProcess::kill);
        let count = self.processes.len();
        let lost = self.rng.random_range(0..count);
        self.processes[lost].wipe()?;
        self.pause(MOST_DOWN_MS).await;
        if self.rng.random() {
            self.start_without_listener((lost + 1) % count).await?;
        }
        self.start_all()?;
        self.read_back().await;
        tokio::time::sleep(CATCH_UP).await;
        Ok(())
    }

    async fn pause(&mut self, most_ms: u64) {
        let ms = self.rng.random_range(0..most_ms);
        tokio::time::sleep(time::Duration::from_millis(ms)).await;
    }

    /// Starts a member whose listener for operators is taken, and waits for its end.
    async fn start_without_listener(&mut self, member: usize) -> Result<()> {
        let failed = |e| soak_error::SoakError::Io("listener", e);
        let address = self.cast.service(cast::Cast::control(member as u8)).own;
        let _taken = net::TcpListener::bind(address).map_err(failed)?;
        let process = &mut self.processes[member];
        process.start()?;
        let started = time::Instant::now();
        while process.ended().is_none() {
            if started.elapsed() > END_LIMIT {
                process.kill();
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Ok(())
    }

    /// Sends the next document until it is acknowledged.
    async fn change(&mut self) {
        self.version += 1;
        let text = lift_peer::DocumentText::new(self.version)
            .service(soak_server::PLAIN_SERVICE)
            .text();
        let started = time::Instant::now();
        let path = lift_peer::paths::REPLACE;
        while self.calls.post(path, text.clone()).await.is_none() {
            if started.elapsed() > ANSWER_LIMIT {
                self.violate(format!("document {} is not acknowledged", self.version));
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Reads the document, which must be the one that was acknowledged last.
    async fn read_back(&mut self) {
        let started = time::Instant::now();
        while started.elapsed() < ANSWER_LIMIT {
            let text = self.calls.get(lift_peer::paths::DOCUMENT).await;
            let read = text.and_then(|text| lift_peer::DocumentText::version_of(&text));
            if let Some(read) = read {
                if read != self.version {
                    self.violate(format!("document {read} read, not {}", self.version));
                }
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        self.violate(format!("document {} can't be read", self.version));
    }

    fn violate(&mut self, what: String) {
        self.violations.push(what);
    }
}
