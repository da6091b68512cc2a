//! The log of a member that keeps its identifier.

use std::{future, io, ops, sync};

use tokio::sync::watch;

use crate::{
    change_error, leadership, log_driver, log_driver_builder, log_end, log_owner, log_status,
    log_supervisor, propose_error, replicated_log, start_error,
};

type Result<T> = std::result::Result<T, error_stack::Report<start_error::StartError>>;

/// A log that starts again on its files whenever it ends. Users hold it across its runs. Dropping
/// it stops the member at once.
#[derive(Debug)]
pub struct SupervisedLog {
    runs: sync::Arc<Runs>,
    stop: tokio_util::sync::CancellationToken,
    _stop_on_drop: tokio_util::sync::DropGuard,
}

/// The runs of one member.
#[derive(Debug)]
struct Runs {
    builder: log_driver_builder::LogDriverBuilder,
    leadership: sync::Arc<watch::Sender<leadership::Leadership>>,
    /// The first run, until it is supervised. It is started before, so that its errors reach the
    /// caller, and only `open` takes it.
    first: parking_lot::Mutex<Option<Driver>>,
    /// The run that users call, from the start on.
    last: parking_lot::RwLock<LastRun>,
}

/// The last run of a member.
#[derive(Debug)]
struct LastRun {
    /// It stays after its end and then refuses all work.
    driver: Option<Driver>,
    /// Whether no run may follow.
    is_stopped: bool,
}

type Driver = sync::Arc<log_driver::LogDriver>;

impl SupervisedLog {
    pub(crate) async fn start(mut builder: log_driver_builder::LogDriverBuilder) -> Result<Self> {
        let leadership = log_driver_builder::follows_nobody();
        let counters = builder.shared_counters();
        let builder = builder.leadership(sync::Arc::clone(&leadership));
        let first = match builder.clone().start().await {
            Ok(driver) => Some(sync::Arc::new(driver)),
            Err(e) if is_disk_full(&e) => {
                slog::error!(builder.log(), "control member waits for its disk"; "error" => ?e);
                None
            }
            Err(e) => return Err(e),
        };
        let supervisor_log = builder.log().clone();
        let runs = sync::Arc::new(Runs {
            builder,
            leadership,
            first: parking_lot::Mutex::new(first.clone()),
            last: parking_lot::RwLock::new(LastRun {
                driver: first,
                is_stopped: false,
            }),
        });
        let supervisor = log_supervisor::LogSupervisor {
            owner: runs.clone(),
            log: supervisor_log,
            counters,
        };
        let stop = tokio_util::sync::CancellationToken::new();
        tokio::spawn(stop.clone().run_until_cancelled_owned(supervisor.run()));
        Ok(Self {
            runs,
            _stop_on_drop: stop.clone().drop_guard(),
            stop,
        })
    }

    fn last(&self) -> Option<Driver> {
        self.runs.last.read().driver.clone()
    }
}

#[async_trait::async_trait]
impl log_owner::LogOwner for Runs {
    async fn open(&self) -> Result<Driver> {
        let first = self.first.lock().take();
        match first {
            Some(driver) => Ok(driver),
            None => self.builder.clone().start().await.map(sync::Arc::new),
        }
    }

    fn started(&self, log: &Driver) {
        let mut last = self.last.write();
        if last.is_stopped {
            log.node.shut_down();
        } else {
            last.driver = Some(sync::Arc::clone(log));
        }
    }

    async fn wait_for_removal(&self, _log: &log_driver::LogDriver) {
        future::pending().await
    }

    fn stopped(&self) {}

    async fn closed(
        &self,
        _member: lift_types::MemberId,
        end: log_end::LogEnd,
    ) -> Result<ops::ControlFlow<()>> {
        Ok(match end {
            log_end::LogEnd::Stopped => ops::ControlFlow::Continue(()),
            // Only an operator can give the member another identifier.
            log_end::LogEnd::DiskReplaced | log_end::LogEnd::Removed => ops::ControlFlow::Break(()),
        })
    }
}

#[async_trait::async_trait]
impl replicated_log::ReplicatedLog for SupervisedLog {
    async fn propose(
        &self,
        command: bytes::Bytes,
    ) -> std::result::Result<bytes::Bytes, error_stack::Report<propose_error::ProposeError>> {
        match self.last() {
            Some(log) => log.propose(command).await,
            None => Err(propose_error::ProposeError::Stopped.into()),
        }
    }

    fn leadership(&self) -> watch::Receiver<leadership::Leadership> {
        self.runs.leadership.subscribe()
    }

    fn members(&self) -> log_status::LogStatus {
        match self.last() {
            Some(log) => log.members(),
            None => log_status::LogStatus::not_started(self.runs.builder.member()),
        }
    }

    async fn change_member(
        &self,
        change: lift_consensus::MemberChange,
    ) -> std::result::Result<(), error_stack::Report<change_error::ChangeError>> {
        match self.last() {
            Some(log) => log.change_member(change).await,
            None => Err(change_error::ChangeError::Stopped.into()),
        }
    }

    async fn stop(&self) {
        self.stop.cancel();
        let last = {
            let mut last = self.runs.last.write();
            last.is_stopped = true;
            last.driver.clone()
        };
        if let Some(log) = last {
            log.stop().await;
        }
    }
}

/// Whether the member failed to start because its disk takes no more data.
fn is_disk_full(e: &error_stack::Report<start_error::StartError>) -> bool {
    let kind = e.downcast_ref::<io::Error>().map(io::Error::kind);
    matches!(
        kind,
        Some(
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge
        )
    )
}
