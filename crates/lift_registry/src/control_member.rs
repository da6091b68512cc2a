//! Runs a control member.

use std::{net, sync, time};

use error_stack::ResultExt as _;
use tokio::sync::watch;

use crate::{
    control_member_builder, directory_maintenance, fleet_control, fleet_control_error,
    fleet_log_owner, member_bootstrap, member_observer, membership_maintenance, registry,
};

/// Default time without a heartbeat after which a backend server is marked as silent.
const DEFAULT_HEARTBEAT_TIMEOUT: time::Duration = time::Duration::from_secs(5);

type Result<T> =
    std::result::Result<T, error_stack::Report<fleet_control_error::FleetControlError>>;

/// Runs the replicated log, the directory of backend servers and the feed of one member until
/// [`ControlMember::stop`] is called. Dropping it ends the member as a crash would.
#[derive(Debug)]
pub struct ControlMember {
    registry: sync::Arc<registry::Registry>,
    _feed: sync::Arc<lift_feed::FeedServer>,
    feed_client: lift_feed::FeedClient,
    stop: tokio_util::sync::CancellationToken,
}

impl ControlMember {
    /// Returns a builder without node, folder and control address, which must be set.
    pub fn builder() -> control_member_builder::ControlMemberBuilder {
        control_member_builder::ControlMemberBuilder::default()
    }

    pub(crate) async fn start(
        settings: control_member_builder::ControlMemberBuilder,
    ) -> Result<Self> {
        let start_error = fleet_control_error::FleetControlError::Start;
        let node = settings.node.ok_or(start_error("node"))?;
        let registry = sync::Arc::new(registry::Registry::new(
            node.clone(),
            settings.failure_domains,
        ));
        let listener = tokio::net::TcpListener::bind(node.ports.feed(node.listen_host())).await;
        let listener = listener.change_context(start_error("feed listener"))?;
        let source: sync::Arc<dyn lift_feed::FeedSource> = registry.clone();
        let feed = lift_feed::FeedServer::new(
            source,
            node.keys.clone(),
            node.log.clone(),
            sync::Arc::clone(&node.counters),
        );
        let feed = sync::Arc::new(feed);
        let _ = registry.feed.set(sync::Arc::downgrade(&feed));
        let (removed, removal) = watch::channel(None);
        let observer = member_observer::MemberObserver {
            registry: sync::Arc::clone(&registry),
            removed,
        };
        let feed_client = lift_feed::FeedClient::start(node.clone(), sync::Arc::new(observer));
        let bootstrap = member_bootstrap::MemberBootstrap {
            folder: settings.folder.ok_or(start_error("folder"))?,
            control: settings.control.ok_or(start_error("control"))?,
            is_first_start: settings.is_first_start,
            node,
        };
        let stop = tokio_util::sync::CancellationToken::new();
        let heartbeat_timeout = settings
            .heartbeat_timeout
            .unwrap_or(DEFAULT_HEARTBEAT_TIMEOUT);
        let supervisor = lift_log::LogSupervisor {
            log: bootstrap.node.log.clone(),
            counters: sync::Arc::clone(&bootstrap.node.counters),
            owner: sync::Arc::new(fleet_log_owner::FleetLogOwner {
                registry: sync::Arc::clone(&registry),
                bootstrap,
                timing: settings.timing,
                removed: removal,
            }),
        };
        tokio::spawn(sync::Arc::clone(&feed).run(listener, stop.clone()));
        let spawn = |task| tokio::spawn(stop.clone().run_until_cancelled_owned(task));
        spawn(boxed(membership_maintenance::run(sync::Arc::clone(
            &registry,
        ))));
        spawn(boxed(directory_maintenance::run(
            sync::Arc::clone(&registry),
            heartbeat_timeout,
        )));
        spawn(boxed(push_head_changes(
            sync::Arc::clone(&registry),
            sync::Arc::clone(&feed),
        )));
        spawn(boxed(supervisor.run()));
        Ok(Self {
            registry,
            _feed: feed,
            feed_client,
            stop,
        })
    }

    /// Returns the operations for operators and backend servers.
    pub fn control(&self) -> sync::Arc<dyn fleet_control::FleetControl> {
        self.registry.clone()
    }

    /// Replaces the seeds whose feeds this member follows, for instance after the settings
    /// changed.
    pub fn set_seeds(&self, seeds: &[net::SocketAddr]) {
        self.feed_client.set_seeds(seeds);
    }

    /// Stops the log, which transfers its leadership if it leads, and then all other tasks.
    pub async fn stop(&self) {
        let log = self.registry.current_log.get();
        self.registry.current_log.set(None);
        if let Some(log) = log {
            log.stop().await;
        }
        self.stop.cancel();
    }
}

impl Drop for ControlMember {
    /// Ends all tasks at once, as a crash would, so that none outlives the handle.
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

type Task = std::pin::Pin<Box<dyn Future<Output = ()> + Send>>;

fn boxed(task: impl Future<Output = ()> + Send + 'static) -> Task {
    Box::pin(task)
}

/// Pushes the versions and evacuations in force to all nodes whenever they change.
async fn push_head_changes(
    registry: sync::Arc<registry::Registry>,
    feed: sync::Arc<lift_feed::FeedServer>,
) {
    let mut changes = registry.state_machine.watch();
    let mut pushed = lift_feed::FleetHead::default();
    while changes.changed().await.is_ok() {
        changes.borrow_and_update();
        let head = registry.state_machine.head();
        log_namings(&registry, &pushed, &head);
        pushed = head.clone();
        let evacuated = head.evacuations.len() as u64;
        let counters = &registry.node.counters;
        counters.set("control.evacuated_domains", evacuated);
        feed.push_head(head);
    }
}

/// Logs the target versions that are newer than those that were pushed last, and what this member
/// knows of their times.
fn log_namings(
    registry: &registry::Registry,
    pushed: &lift_feed::FleetHead,
    head: &lift_feed::FleetHead,
) {
    for (model, named) in &head.weights {
        let before = pushed.weights.get(model).map(|named| named.version);
        if before == Some(named.version) {
            continue;
        }
        slog::info!(registry.node.log, "naming applied"; "model" => model,
            "version" => named.version,
            "named_for_ms" => named.named_for.map(|age| age.as_millis() as u64),
            "earlier" => ?named.earlier);
    }
}
