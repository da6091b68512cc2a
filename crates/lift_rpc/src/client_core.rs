//! The shared state of a client.

use std::{net, sync, time};

use tokio::sync::{mpsc, watch};
use tokio::time as timer;

use crate::{client_config, client_link, client_route, control_error};
use crate::{policy_update, reply, request};

/// Pause between two attempts to connect. All addresses are tried within a leader lease.
const RECONNECT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Pushes that may wait for the task that applies them.
const QUEUED_PUSHES: usize = 64;

type Failure = error_stack::Report<control_error::ControlError>;
type LinkWatch = watch::Sender<Option<sync::Arc<client_link::ClientLink>>>;

/// What the tasks of a client and its callers share.
#[derive(Debug)]
pub(crate) struct ClientCore {
    pub(crate) config: client_config::ClientConfig,
    pub(crate) view: watch::Sender<lift_types::PolicyView>,
    /// Asks for a confirmation at once.
    pub(crate) pull: tokio::sync::Notify,
    link: LinkWatch,
    route: lift_shard::Shards<client_route::ClientRoute>,
}

impl ClientCore {
    pub(crate) fn new(config: client_config::ClientConfig) -> Self {
        // Clients begin at different addresses, which spreads them over the servers.
        let first = rand::random_range(0..config.addresses.len());
        let route = lift_shard::Shards::new(1, |_| {
            client_route::ClientRoute::new(config.addresses.clone(), first)
        });
        Self {
            config,
            view: watch::Sender::new(lift_types::PolicyView::default()),
            pull: tokio::sync::Notify::new(),
            link: watch::Sender::new(None),
            route,
        }
    }

    /// Sends a request until it is answered or the time is over.
    pub(crate) async fn call(
        &self,
        req: &request::Request,
        resend: client_link::Resend,
    ) -> Result<reply::Reply, Failure> {
        let body = client_link::ClientLink::encode(req)?;
        let mut sent_once = Sends::None;
        let attempts = self.attempt_until_answered(body, resend, &mut sent_once);
        match timer::timeout(self.config.request_timeout, attempts).await {
            Ok(result) => result,
            Err(_) => Err(error_stack::Report::new(sent_once.error())),
        }
    }

    /// Asks once on the current connection.
    pub(crate) async fn call_once(
        &self,
        req: &request::Request,
        timeout: time::Duration,
    ) -> Option<(sync::Arc<client_link::ClientLink>, reply::Reply)> {
        let body = client_link::ClientLink::encode(req).ok()?;
        let link = self.link.borrow().clone()?;
        let call = link.call(body, client_link::Resend::Allowed);
        match timer::timeout(timeout, call).await {
            Ok(client_link::Attempt::Answered(reply)) => Some((link, *reply)),
            Ok(_) => None,
            Err(_) => {
                self.config.counters.increment("control.client.stalled");
                self.avoid(link.address);
                link.replaced.cancel();
                None
            }
        }
    }

    /// Lets another connection take over, to the leader where it is known.
    pub(crate) fn redirect(&self, link: &client_link::ClientLink, leader: Option<net::SocketAddr>) {
        if let Some(leader) = leader.filter(|leader| *leader != link.address) {
            self.route
                .with_position(0, |route| route.name_leader(leader));
        }
        self.config.counters.increment("control.client.redirected");
        link.replaced.cancel();
    }

    /// Applies an update. A lower revision is never applied; a difference that does not
    /// fit leads to a pull.
    pub(crate) fn apply(&self, update: policy_update::PolicyUpdate) {
        let revision = update.revision();
        let changed = self.view.send_if_modified(|view| {
            let Some(policy) = update.resolve(&view.policy) else {
                return false;
            };
            view.policy = policy;
            true
        });
        if !changed && self.view.borrow().policy.revision < revision {
            self.config.counters.increment("control.client.gaps");
            self.pull.notify_one();
        }
    }

    /// Keeps one connection until the client is stopped.
    pub(crate) async fn keep_connected(self: sync::Arc<Self>) {
        let (pushes_tx, mut pushes) = mpsc::channel(QUEUED_PUSHES);
        let applying = sync::Arc::clone(&self);
        let apply = async move {
            while let Some(update) = pushes.recv().await {
                applying.apply(update);
            }
        };
        tokio::join!(self.connect_in_turn(pushes_tx), apply);
    }

    async fn connect_in_turn(&self, pushes: mpsc::Sender<policy_update::PolicyUpdate>) {
        loop {
            let now = time::Instant::now();
            let address = self.route.with_position(0, |route| route.next(now));
            let connect =
                client_link::ClientLink::connect(address, &self.config.keys, pushes.clone());
            match connect.await {
                Ok(link) => self.use_link(link).await,
                Err(error) => {
                    self.avoid(address);
                    self.config
                        .counters
                        .increment("control.client.connect_failed");
                    slog::debug!(self.config.log, "control connection failed";
                        "address" => %address, "error" => ?error.current_context());
                }
            }
            if !self.route.with_position(0, |route| route.has_leader()) {
                timer::sleep(RECONNECT_PAUSE.mul_f64(0.5 + rand::random::<f64>())).await;
            }
        }
    }

    async fn use_link(&self, link: sync::Arc<client_link::ClientLink>) {
        let guard = CloseOnDrop(sync::Arc::clone(&link));
        self.config.counters.increment("control.client.connected");
        self.link.send_replace(Some(sync::Arc::clone(&link)));
        self.pull.notify_one();
        tokio::select! {
            () = link.closed.cancelled() => {}
            () = link.replaced.cancelled() => {}
        }
        self.link.send_replace(None);
        link.replaced.cancel();
        tokio::spawn(async move {
            // Answers to requests that must not be repeated may still arrive.
            let _ =
                timer::timeout(crate::link_io::SILENCE_TIMEOUT, guard.0.closed.cancelled()).await;
            drop(guard);
        });
    }

    fn avoid(&self, address: net::SocketAddr) {
        let now = time::Instant::now();
        self.route
            .with_position(0, |route| route.avoid(address, now));
    }

    async fn attempt_until_answered(
        &self,
        body: bytes::Bytes,
        resend: client_link::Resend,
        sends: &mut Sends,
    ) -> Result<reply::Reply, Failure> {
        let mut links = self.link.subscribe();
        loop {
            let found = links.wait_for(|l| l.as_ref().is_some_and(|l| l.is_usable()));
            let Ok(Some(link)) = found.await.map(|l| l.clone()) else {
                return Err(error_stack::Report::new(sends.error()));
            };
            let before = *sends;
            *sends = Sends::Some;
            let answer = match link.call(body.clone(), resend).await {
                client_link::Attempt::Answered(answer) => *answer,
                client_link::Attempt::Unsent => {
                    *sends = before;
                    continue;
                }
                client_link::Attempt::Lost if resend == client_link::Resend::Allowed => continue,
                client_link::Attempt::Lost => return Err(error_stack::Report::new(sends.error())),
            };
            match answer {
                reply::Reply::Failed(control_error::ControlError::NotLeader { leader }) => {
                    *sends = before;
                    self.redirect(&link, leader);
                }
                reply::Reply::Failed(control_error::ControlError::Unknown)
                    if resend == client_link::Resend::Allowed =>
                {
                    timer::sleep(RECONNECT_PAUSE).await;
                }
                reply::Reply::Failed(error) => return Err(error_stack::Report::new(error)),
                reply => return Ok(reply),
            }
        }
    }
}

/// Whether a request may have reached control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sends {
    None,
    Some,
}

impl Sends {
    fn error(self) -> control_error::ControlError {
        match self {
            Self::None => control_error::ControlError::Unavailable,
            Self::Some => control_error::ControlError::Unknown,
        }
    }
}

/// Ends the tasks of a connection, also when the client is dropped.
struct CloseOnDrop(sync::Arc<client_link::ClientLink>);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.0.closed.cancel();
    }
}
