//! The fleet as the administration API shows it.

use std::sync;

/// Reads the directory of an entry. The kind of an agent follows from its services.
#[derive(Debug)]
pub(crate) struct EntryFleet {
    entry: sync::Arc<lift_entry::Entry>,
    control: sync::Arc<dyn lift_rpc::ControlPort>,
}

impl EntryFleet {
    /// Reads the directory of `entry` and the policy of `control`.
    pub(crate) fn new(
        entry: sync::Arc<lift_entry::Entry>,
        control: sync::Arc<dyn lift_rpc::ControlPort>,
    ) -> Self {
        Self { entry, control }
    }
}

#[async_trait::async_trait]
impl lift_admin::FleetView for EntryFleet {
    fn members(&self) -> Vec<lift_admin::FleetMember> {
        let policy = self.control.watch().borrow().policy.clone();
        let agents = self.entry.live_agents();
        agents.into_iter().map(|a| member(&policy, a)).collect()
    }

    async fn drain(
        &self,
        host: lift_types::HostId,
    ) -> Result<(), error_stack::Report<lift_admin::FleetError>> {
        self.entry.drain(host).await.map_err(|error| {
            let fleet_error = match error {
                lift_entry::DrainError::UnknownHost(_) => lift_admin::FleetError::UnknownHost(host),
                lift_entry::DrainError::Unconfirmed(_) => lift_admin::FleetError::Unconfirmed(host),
            };
            error_stack::Report::new(error).change_context(fleet_error)
        })
    }
}

fn member(policy: &lift_types::Policy, agent: lift_entry::LiveAgent) -> lift_admin::FleetMember {
    let is_model = agent.serving.is_some()
        || agent
            .services
            .iter()
            .any(|name| policy.kind_of(name) == Some(lift_types::ServiceKind::Model));
    lift_admin::FleetMember {
        location: agent.location,
        incarnation: agent.incarnation,
        services: agent.services,
        kind: if is_model {
            lift_types::ServiceKind::Model
        } else {
            lift_types::ServiceKind::Plain
        },
        serving: agent.serving.map(|serving| serving.version),
        state: match agent.state {
            lift_types::HostState::Up => lift_admin::MemberState::Up,
            lift_types::HostState::Leaving => lift_admin::MemberState::Leaving,
        },
        in_flight: agent.in_progress,
    }
}
