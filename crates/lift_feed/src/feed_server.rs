//! The feed of one control member.

use std::{sync, time};

use crate::{
    feed_source, fleet_head, member_card, member_message, node_kind, server_connection,
    shared_sightings, subscribers,
};

/// Pause after a failure to accept, such as a lack of file descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Accepts nodes and pushes the state of the fleet to them.
#[derive(Debug)]
pub struct FeedServer {
    pub(crate) source: sync::Arc<dyn feed_source::FeedSource>,
    pub(crate) keys: lift_wire::LinkKeys,
    pub(crate) log: slog::Logger,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    pub(crate) subscribers: subscribers::Subscribers,
    /// What gateways have told. It is in memory only: a member that restarts gets it from them.
    pub(crate) sightings: sync::Arc<shared_sightings::SharedSightings>,
}

impl FeedServer {
    /// Serves the state of `source`. Nothing is accepted before [`FeedServer::run`].
    pub fn new(
        source: sync::Arc<dyn feed_source::FeedSource>,
        keys: lift_wire::LinkKeys,
        log: slog::Logger,
        counters: sync::Arc<lift_obs::Counters>,
    ) -> Self {
        Self {
            source,
            keys,
            log,
            sightings: shared_sightings::SharedSightings::new(sync::Arc::clone(&counters)),
            counters,
            subscribers: subscribers::Subscribers::new(),
        }
    }

    /// Accepts nodes until `stop`.
    pub async fn run(
        self: sync::Arc<Self>,
        listener: tokio::net::TcpListener,
        stop: tokio_util::sync::CancellationToken,
    ) {
        while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let server = sync::Arc::clone(&self);
            let connection = server_connection::serve(server, stream);
            tokio::spawn(stop.clone().run_until_cancelled_owned(connection));
        }
    }

    /// Tells gateways and the other control members about backend servers that are new or have
    /// changed.
    pub fn push_backends(&self, records: Vec<lift_fleet::BackendRecord>) {
        let message = member_message::MemberMessage::Backends(records);
        self.subscribers
            .publish(message, |card| card.kind.follows_backends());
    }

    /// Tells the other control members about heartbeats that changed nothing.
    pub fn relay_heartbeats(&self, records: Vec<lift_fleet::BackendRecord>) {
        let message = member_message::MemberMessage::Backends(records);
        self.subscribers
            .publish(message, |card| card.kind == node_kind::NodeKind::Control);
    }

    /// Tells all nodes which versions are in force.
    pub fn push_head(&self, head: fleet_head::FleetHead) {
        let message = member_message::MemberMessage::Head(head);
        self.subscribers.publish(message, |_| true);
    }

    /// Tells all nodes who the control members are.
    pub fn push_members(
        &self,
        members: Vec<member_card::MemberCard>,
        highest: lift_types::MemberId,
    ) {
        let message = member_message::MemberMessage::Members { members, highest };
        self.subscribers.publish(message, |_| true);
    }
}
