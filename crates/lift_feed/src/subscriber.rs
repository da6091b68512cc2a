//! A connected node.

use std::sync;

use tokio::sync::mpsc;

use crate::{member_message, node_card};

/// Messages to one node on their way.
#[derive(Clone, Debug)]
pub(crate) struct Subscriber {
    pub(crate) card: node_card::NodeCard,
    pub(crate) messages: mpsc::Sender<sync::Arc<member_message::MemberMessage>>,
    /// Ends the connection of a node that does not keep up.
    pub(crate) stop: tokio_util::sync::CancellationToken,
}
