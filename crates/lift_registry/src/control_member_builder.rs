//! Settings of a control member.

use std::{net, path, sync, time};

use crate::{control_fault, control_member};

/// Collects what a [`control_member::ControlMember`] needs.
#[derive(Debug, Default)]
pub struct ControlMemberBuilder {
    pub(crate) folder: Option<path::PathBuf>,
    pub(crate) card: Option<lift_feed::NodeCard>,
    pub(crate) control: Option<net::SocketAddr>,
    pub(crate) ports: Option<lift_feed::FeedPorts>,
    pub(crate) seeds: Vec<net::SocketAddr>,
    pub(crate) is_first_start: bool,
    pub(crate) keys: Option<lift_wire::LinkKeys>,
    pub(crate) codec: Option<sync::Arc<dyn lift_fleet::DocumentCodec>>,
    pub(crate) timing: lift_consensus::Timing,
    pub(crate) silence: Option<time::Duration>,
    pub(crate) log: Option<slog::Logger>,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
}

impl ControlMemberBuilder {
    /// Keeps all files in `folder`.
    pub fn folder(mut self, folder: impl Into<path::PathBuf>) -> Self {
        self.folder = Some(folder.into());
        self
    }

    /// What the other members are told about this node.
    pub fn card(mut self, card: lift_feed::NodeCard) -> Self {
        self.card = Some(card);
        self
    }

    /// Where operators and backend servers call this member.
    pub fn control(mut self, address: net::SocketAddr) -> Self {
        self.control = Some(address);
        self
    }

    /// Ports of the listeners between nodes.
    pub fn ports(mut self, ports: lift_feed::FeedPorts) -> Self {
        self.ports = Some(ports);
        self
    }

    /// Addresses for operators of a few members.
    pub fn seeds(mut self, seeds: Vec<net::SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Says that the whole fleet starts for the first time. The seeds are then the first
    /// members.
    pub fn first_start(mut self) -> Self {
        self.is_first_start = true;
        self
    }

    /// Keys of the links between nodes.
    pub fn keys(mut self, keys: lift_wire::LinkKeys) -> Self {
        self.keys = Some(keys);
        self
    }

    /// Decodes and checks documents.
    pub fn codec(mut self, codec: sync::Arc<dyn lift_fleet::DocumentCodec>) -> Self {
        self.codec = Some(codec);
        self
    }

    /// Durations of the replicated log. All members must use the same.
    pub fn timing(mut self, timing: lift_consensus::Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Time without heartbeats after which a backend server counts as down.
    pub fn backend_silence(mut self, silence: time::Duration) -> Self {
        self.silence = Some(silence);
        self
    }

    /// Logger, by default one that drops all events.
    pub fn logger(mut self, log: slog::Logger) -> Self {
        self.log = Some(log);
        self
    }

    /// Counters, by default those of this member alone.
    pub fn counters(mut self, counters: sync::Arc<lift_obs::Counters>) -> Self {
        self.counters = counters;
        self
    }

    /// Opens the listeners and starts the member. It may still be joining the others then.
    ///
    /// # Errors
    ///
    /// Returns a setting that is missing or a listener that can't be opened.
    pub async fn start(
        self,
    ) -> Result<control_member::ControlMember, error_stack::Report<control_fault::ControlFault>>
    {
        control_member::ControlMember::start(self).await
    }
}
