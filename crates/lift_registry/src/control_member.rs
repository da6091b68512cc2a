//! A running control member.

use std::{net, sync, time};

use error_stack::ResultExt as _;
use tokio::sync::watch;

use crate::{
    control_fault, control_member_builder, directory_keeper, fleet_control, member_disk,
    member_keeper, member_observer, member_start, registry,
};

/// Time without heartbeats after which a backend server counts as down, without a setting.
const DEFAULT_SILENCE: time::Duration = time::Duration::from_secs(5);

/// Pause before the log is started again after its disk has failed.
const RESTART_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Entries after which a snapshot is taken. Each may hold a whole document, which the next
/// one replaces.
const SNAPSHOT_AFTER_ENTRIES: u64 = 256;

/// Entries that are kept behind a snapshot for slow members.
const KEEP_ENTRIES: u64 = 64;

type Result<T> = std::result::Result<T, error_stack::Report<control_fault::ControlFault>>;

/// Runs the log, the directory and the feed of one member until it is stopped.
#[derive(Debug)]
pub struct ControlMember {
    registry: sync::Arc<registry::Registry>,
    _feed: sync::Arc<lift_feed::FeedServer>,
    others: lift_feed::FeedClient,
    stop: tokio_util::sync::CancellationToken,
}

impl ControlMember {
    /// Collects the settings.
    pub fn builder() -> control_member_builder::ControlMemberBuilder {
        control_member_builder::ControlMemberBuilder::default()
    }

    pub(crate) async fn start(
        settings: control_member_builder::ControlMemberBuilder,
    ) -> Result<Self> {
        let missing = control_fault::ControlFault::Start;
        let node = settings.node.ok_or(missing("node"))?;
        let registry = sync::Arc::new(registry::Registry::new(node.clone()));
        let listener = tokio::net::TcpListener::bind(node.ports.feed(node.listen_host())).await;
        let listener = listener.change_context(missing("feed listener"))?;
        let source: sync::Arc<dyn lift_feed::FeedSource> = registry.clone();
        let feed = lift_feed::FeedServer::new(
            source,
            node.keys.clone(),
            node.log.clone(),
            sync::Arc::clone(&node.counters),
        );
        let feed = sync::Arc::new(feed);
        let _ = registry.feed.set(sync::Arc::downgrade(&feed));
        let (removed, was_removed) = watch::channel(None);
        let observer = member_observer::MemberObserver {
            registry: sync::Arc::clone(&registry),
            removed,
        };
        let others = lift_feed::FeedClient::start(node.clone(), sync::Arc::new(observer));
        let start = member_start::MemberStart {
            folder: settings.folder.ok_or(missing("folder"))?,
            control: settings.control.ok_or(missing("control"))?,
            is_first_start: settings.is_first_start,
            node,
        };
        let stop = tokio_util::sync::CancellationToken::new();
        let silence = settings.silence.unwrap_or(DEFAULT_SILENCE);
        let member = Member {
            registry: sync::Arc::clone(&registry),
            start,
            timing: settings.timing,
        };
        tokio::spawn(sync::Arc::clone(&feed).run(listener, stop.clone()));
        let spawn = |task| tokio::spawn(stop.clone().run_until_cancelled_owned(task));
        spawn(boxed(member_keeper::run(sync::Arc::clone(&registry))));
        spawn(boxed(directory_keeper::run(
            sync::Arc::clone(&registry),
            silence,
        )));
        spawn(boxed(follow_head(
            sync::Arc::clone(&registry),
            sync::Arc::clone(&feed),
        )));
        spawn(boxed(member.run(was_removed)));
        Ok(Self {
            registry,
            _feed: feed,
            others,
            stop,
        })
    }

    /// What operators and backend servers call.
    pub fn control(&self) -> sync::Arc<dyn fleet_control::FleetControl> {
        self.registry.clone()
    }

    /// Replaces the seeds, for instance after a change of the settings.
    pub fn set_seeds(&self, seeds: &[net::SocketAddr]) {
        self.others.set_seeds(seeds);
    }

    /// Hands the lead to another member, closes all files and stops.
    pub async fn stop(&self) {
        let log = self.registry.slot.get();
        self.registry.slot.set(None);
        if let Some(log) = log {
            log.stop().await;
        }
        self.stop.cancel();
    }
}

type Task = std::pin::Pin<Box<dyn Future<Output = ()> + Send>>;

fn boxed(task: impl Future<Output = ()> + Send + 'static) -> Task {
    Box::pin(task)
}

/// Pushes the versions in force whenever they change.
async fn follow_head(
    registry: sync::Arc<registry::Registry>,
    feed: sync::Arc<lift_feed::FeedServer>,
) {
    let mut changes = registry.machine.watch();
    while changes.changed().await.is_ok() {
        changes.borrow_and_update();
        feed.push_head(registry.machine.head());
    }
}

/// Runs the log, again and again where its disk fails or the member is removed.
struct Member {
    registry: sync::Arc<registry::Registry>,
    start: member_start::MemberStart,
    timing: lift_consensus::Timing,
}

impl Member {
    async fn run(self, mut removed: watch::Receiver<Option<lift_types::MemberId>>) {
        loop {
            if let Err(e) = self.run_once(&mut removed).await {
                slog::error!(self.start.node.log, "control member ended"; "error" => %e);
                self.start.node.counters.increment("control.member_ended");
            }
            tokio::time::sleep(RESTART_PAUSE).await;
        }
    }

    async fn run_once(
        &self,
        removed: &mut watch::Receiver<Option<lift_types::MemberId>>,
    ) -> Result<()> {
        let id = self.start.identifier().await?;
        let log = sync::Arc::new(self.open(id).await?);
        self.registry.slot.set(Some(log.clone()));
        slog::info!(self.start.node.log, "control member runs"; "member" => id);
        let must_clear = tokio::select! {
            end = log.ended() => end == lift_log::LogEnd::DiskReplaced,
            _ = removed.wait_for(|removed| *removed == Some(id)) => true,
        };
        self.registry.slot.set(None);
        log.abort().await;
        drop(log);
        slog::warn!(self.start.node.log, "control member stopped"; "member" => id,
            "must_join_again" => must_clear);
        if must_clear {
            let folder = self.start.folder.clone();
            let cleared = tokio::task::spawn_blocking(move || member_disk::clear(&folder)).await;
            cleared.map_err(|_| control_fault::ControlFault::Start("disk"))??;
        }
        Ok(())
    }

    async fn open(&self, id: lift_types::MemberId) -> Result<lift_log::LogDriver> {
        let start = &self.start;
        let limits = lift_consensus::Limits {
            snapshot_after_entries: SNAPSHOT_AFTER_ENTRIES,
            keep_entries: KEEP_ENTRIES,
            ..lift_consensus::Limits::default()
        };
        let mut builder = lift_log::LogDriver::builder()
            .id(id)
            .folder(&start.folder)
            .keys(start.node.keys.clone())
            .peer_address(start.node.ports.peer(start.node.listen_host()))
            .advertise(start.node.ports.peer(start.node.host()))
            .state_machine(self.registry.machine.clone())
            .timing(self.timing)
            .limits(limits)
            .logger(start.node.log.clone())
            .counters(sync::Arc::clone(&self.start.node.counters));
        let first = start.first_members();
        if first.iter().any(|(first, _)| *first == id) {
            for (id, control) in first {
                builder = builder.initial_member(id, start.node.ports.peer(control.ip()), control);
            }
        }
        let opened = builder.start().await;
        opened.change_context(control_fault::ControlFault::Start("replicated log"))
    }
}
