//! Settings of a control member.

use std::{net, path, time};

use crate::{control_fault, control_member};

/// Collects what a [`control_member::ControlMember`] needs.
#[derive(Debug, Default)]
pub struct ControlMemberBuilder {
    pub(crate) node: Option<lift_feed::NodeSetup>,
    pub(crate) folder: Option<path::PathBuf>,
    pub(crate) control: Option<net::SocketAddr>,
    pub(crate) is_first_start: bool,
    pub(crate) timing: lift_consensus::Timing,
    pub(crate) silence: Option<time::Duration>,
}

impl ControlMemberBuilder {
    /// Who the node is and how it finds the others.
    pub fn node(mut self, node: lift_feed::NodeSetup) -> Self {
        self.node = Some(node);
        self
    }

    /// Keeps all files in `folder`.
    pub fn folder(mut self, folder: impl Into<path::PathBuf>) -> Self {
        self.folder = Some(folder.into());
        self
    }

    /// Where operators and backend servers call this member.
    pub fn control(mut self, address: net::SocketAddr) -> Self {
        self.control = Some(address);
        self
    }

    /// Says that the whole fleet starts for the first time. The seeds are then the first
    /// members.
    pub fn first_start(mut self) -> Self {
        self.is_first_start = true;
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
