//! Settings of a control member.

use std::{net, path, time};

use crate::{control_member, fleet_control_error};

/// Collects the settings of a [`control_member::ControlMember`]. Node, folder and control
/// address are required.
#[derive(Debug, Default)]
pub struct ControlMemberBuilder {
    pub(crate) node: Option<lift_feed::NodeSetup>,
    pub(crate) folder: Option<path::PathBuf>,
    pub(crate) control: Option<net::SocketAddr>,
    pub(crate) is_first_start: bool,
    pub(crate) timing: lift_consensus::Timing,
    pub(crate) heartbeat_timeout: Option<time::Duration>,
    pub(crate) failure_domains: indexmap::IndexSet<lift_types::FailureDomainId>,
}

impl ControlMemberBuilder {
    /// Sets the description of the node, its ports, keys and seeds.
    pub fn node(mut self, node: lift_feed::NodeSetup) -> Self {
        self.node = Some(node);
        self
    }

    /// Sets the folder for all files of the member.
    pub fn folder(mut self, folder: impl Into<path::PathBuf>) -> Self {
        self.folder = Some(folder.into());
        self
    }

    /// Sets the address at which operators and backend servers reach this member.
    pub fn control(mut self, address: net::SocketAddr) -> Self {
        self.control = Some(address);
        self
    }

    /// Marks this as the first start of the whole fleet: the seeds become the initial members.
    pub fn first_start(mut self) -> Self {
        self.is_first_start = true;
        self
    }

    /// Sets the durations of the replicated log, which must be the same for all members.
    pub fn timing(mut self, timing: lift_consensus::Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Sets the time without a heartbeat after which a backend server is marked as silent.
    pub fn heartbeat_timeout(mut self, timeout: time::Duration) -> Self {
        self.heartbeat_timeout = Some(timeout);
        self
    }

    /// Adds a failure domain that operators may evacuate.
    pub fn failure_domain(mut self, failure_domain: lift_types::FailureDomainId) -> Self {
        self.failure_domains.insert(failure_domain);
        self
    }

    /// Opens the feed listener and starts the member. Its log may not run yet on return, for
    /// instance while it asks to join.
    ///
    /// # Errors
    ///
    /// Returns [`fleet_control_error::FleetControlError::Start`] for a missing setting or if the
    /// feed listener can't be opened.
    pub async fn start(
        self,
    ) -> Result<
        control_member::ControlMember,
        error_stack::Report<fleet_control_error::FleetControlError>,
    > {
        control_member::ControlMember::start(self).await
    }
}
