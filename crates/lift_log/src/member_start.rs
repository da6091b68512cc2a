//! Starts the threads and tasks of a member.

use std::{net, sync, thread};

use error_stack::ResultExt as _;
use rand::SeedableRng as _;
use sync::{atomic, mpsc};
use tokio::sync::watch;

use crate::{
    apply_thread, bindings, disk_thread, leadership, link_switch, log_driver, member_files, node,
    peer_link, peer_links, peer_port, snapshot_thread, start_error, state_machine, timer_thread,
    waiters,
};

type Result<T> = std::result::Result<T, error_stack::Report<start_error::StartError>>;

/// Checked settings of a member.
#[derive(Debug)]
pub(crate) struct MemberStart {
    pub(crate) replica: lift_consensus::ReplicaConfig,
    pub(crate) log: slog::Logger,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    pub(crate) switch: Option<sync::Arc<link_switch::LinkSwitch>>,
    pub(crate) keys: lift_wire::LinkKeys,
    pub(crate) machine: sync::Arc<dyn state_machine::StateMachine>,
    pub(crate) listener: tokio::net::TcpListener,
    pub(crate) advertised: Option<net::SocketAddr>,
    pub(crate) leadership: sync::Arc<watch::Sender<leadership::Leadership>>,
}

/// Receiving ends of the channels of a member.
struct Jobs {
    disk: mpsc::Receiver<disk_thread::Job>,
    apply: mpsc::Receiver<apply_thread::Job>,
    snapshot: mpsc::Receiver<Option<lift_consensus::Snapshot>>,
    links: tokio::sync::mpsc::UnboundedReceiver<peer_links::NewLink>,
}

/// What a thread of the member runs.
type Run = Box<dyn FnOnce(&node::Node) + Send>;

impl MemberStart {
    /// Starts a member from its files.
    pub(crate) fn start(self, files: member_files::MemberFiles) -> Result<log_driver::LogDriver> {
        let own_address = self.listener.local_addr();
        let own_address = own_address.change_context(start_error::StartError::Port)?;
        let own_address = self.advertised.unwrap_or(own_address);
        let (node, jobs) = self.node(files.restored, files.identity);
        let driver = log_driver::LogDriver::new(sync::Arc::clone(&node));
        let (store, identities, snapshots) = (files.store, files.identities, files.snapshots);
        let machine = self.machine;
        let threads: [(&str, Run); 4] = [
            (
                "disk",
                Box::new(move |node| disk_thread::run(node, store, &identities, &jobs.disk)),
            ),
            (
                "apply",
                Box::new(move |node| apply_thread::run(node, &*machine, &jobs.apply)),
            ),
            (
                "snap",
                Box::new(move |node| snapshot_thread::run(node, &snapshots, &jobs.snapshot)),
            ),
            ("timer", Box::new(timer_thread::run)),
        ];
        for (name, run) in threads {
            driver.threads.lock().push(spawn(&node, name, run)?);
        }
        let cx = peer_link::LinkContext {
            node: sync::Arc::clone(&node),
            keys: self.keys,
            own_address,
        };
        let tasks = &driver.tasks;
        tasks.spawn(peer_port::run(cx.clone(), self.listener, tasks.clone()));
        tasks.spawn(open_links(cx, jobs.links, tasks.clone()));
        node.step(lift_consensus::Event::Tick);
        Ok(driver)
    }

    fn node(
        &self,
        restored: lift_consensus::RecoveredState,
        identity: lift_disk::Identity,
    ) -> (sync::Arc<node::Node>, Jobs) {
        let (to_disk, disk) = mpsc::channel();
        let (to_apply, apply) = mpsc::channel();
        let (to_snapshot, snapshot) = mpsc::channel();
        let (new_links, links) = tokio::sync::mpsc::unbounded_channel();
        let rng = rand::rngs::StdRng::from_rng(&mut rand::rng());
        let (id, cfg) = (self.replica.id, self.replica.clone());
        let replica = lift_consensus::Replica::new(cfg, restored, lift_clock::now(), rng);
        let counters = sync::Arc::clone(&self.counters);
        let node = node::Node {
            id,
            log: self.log.new(slog::o!("member" => id)),
            replica: parking_lot::Mutex::new(replica),
            queue: parking_lot::Mutex::new(Vec::new()),
            waiters: waiters::Waiters::new(),
            bindings: bindings::Bindings::new(identity),
            leadership: sync::Arc::clone(&self.leadership),
            links: peer_links::PeerLinks::new(id, sync::Arc::clone(&counters), new_links),
            counters,
            switch: self.switch.clone(),
            timer: timer_thread::Timer::default(),
            timing: self.replica.timing,
            to_disk,
            to_apply,
            to_snapshot,
            stopped: atomic::AtomicBool::new(false),
            is_replaced: atomic::AtomicBool::new(false),
            cancel: tokio_util::sync::CancellationToken::new(),
        };
        let jobs = Jobs {
            disk,
            apply,
            snapshot,
            links,
        };
        (sync::Arc::new(node), jobs)
    }
}

fn spawn(node: &sync::Arc<node::Node>, name: &str, run: Run) -> Result<thread::JoinHandle<()>> {
    let builder = thread::Builder::new().name(format!("log-{name}-{}", node.id));
    let node = sync::Arc::clone(node);
    let spawned = builder.spawn(move || run(&node));
    spawned.change_context(start_error::StartError::Thread)
}

/// Starts a task for each new link until the member stops.
async fn open_links(
    cx: peer_link::LinkContext,
    mut links: tokio::sync::mpsc::UnboundedReceiver<peer_links::NewLink>,
    tasks: tokio_util::task::TaskTracker,
) {
    let cancel = cx.node.cancel.clone();
    while let Some(Some(link)) = cancel.run_until_cancelled(links.recv()).await {
        tasks.spawn(peer_link::run(cx.clone(), link));
    }
}
