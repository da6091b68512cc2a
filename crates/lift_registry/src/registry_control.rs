//! Implements the control operations.

use std::time;

use error_stack::ResultExt as _;

use crate::{fleet_control, fleet_control_error, fleet_state_machine, registry};

type Result<T> =
    std::result::Result<T, error_stack::Report<fleet_control_error::FleetControlError>>;

#[async_trait::async_trait]
impl fleet_control::FleetControl for registry::Registry {
    async fn replace(&self, text: bytes::Bytes) -> Result<lift_fleet::FleetReply> {
        self.current_log.leader_log()?;
        let table = self.node.codec.decode(&text);
        let table = table.map_err(fleet_control_error::FleetControlError::Invalid)?;
        let version = table.version();
        if version <= self.state_machine.document_version() {
            self.current_log.leader_log()?;
            return Ok(lift_fleet::FleetReply::Overtaken);
        }
        let compressed = lift_feed::pack(&text);
        let compressed =
            compressed.change_context(fleet_control_error::FleetControlError::Unavailable)?;
        let document = lift_fleet::Document {
            version,
            compressed,
        };
        let command = lift_fleet::FleetCommand::Replace(document);
        let reply = self.propose(&command).await;
        slog::info!(self.node.log, "document received"; "document" => version,
            "routes" => table.route_count(), "bytes" => text.len(),
            "outcome" => outcome(&reply));
        reply
    }

    async fn text(&self) -> Result<Option<bytes::Bytes>> {
        let document = self.state_machine.document();
        // The lease is checked after the state was read: as it is valid then, no other leader
        // can have acknowledged a newer document before the read.
        self.current_log.leader_log()?;
        self.check_readable()?;
        let Some(document) = document else {
            return Ok(None);
        };
        let text = lift_feed::unpack(&document.compressed);
        Ok(Some(text.change_context(
            fleet_control_error::FleetControlError::Unavailable,
        )?))
    }

    async fn set_target_version(
        &self,
        model: lift_fleet::ModelName,
        version: lift_fleet::WeightsVersion,
    ) -> Result<lift_fleet::FleetReply> {
        if model.is_empty() || model.len() > lift_fleet::MAX_MODEL_NAME_BYTES {
            return Err(error_stack::Report::new(
                fleet_control_error::FleetControlError::Model,
            ));
        }
        let command = lift_fleet::FleetCommand::SetTargetVersion {
            model: model.clone(),
            version,
        };
        let reply = self.propose(&command).await;
        slog::info!(self.node.log, "weights named"; "model" => model, "version" => version,
            "outcome" => outcome(&reply));
        reply
    }

    async fn evacuate(
        &self,
        failure_domain: lift_types::FailureDomainId,
    ) -> Result<lift_fleet::FleetReply> {
        self.check_failure_domain(&failure_domain)?;
        let command = lift_fleet::FleetCommand::Evacuate {
            failure_domain: failure_domain.clone(),
        };
        let reply = self.propose(&command).await;
        slog::info!(self.node.log, "evacuation asked"; "failure_domain" => failure_domain,
            "revision" => self.state_machine.confirmation().evacuations,
            "outcome" => outcome(&reply));
        reply
    }

    async fn restore(
        &self,
        failure_domain: lift_types::FailureDomainId,
    ) -> Result<lift_fleet::FleetReply> {
        self.check_failure_domain(&failure_domain)?;
        let command = lift_fleet::FleetCommand::Restore {
            failure_domain: failure_domain.clone(),
        };
        let reply = self.propose(&command).await;
        slog::info!(self.node.log, "restoration asked"; "failure_domain" => failure_domain,
            "revision" => self.state_machine.confirmation().evacuations,
            "outcome" => outcome(&reply));
        reply
    }

    fn announce(&self, announcement: lift_fleet::Announcement) -> Result<()> {
        self.check_quorum()?;
        let checked = announcement.check();
        checked.map_err(fleet_control_error::FleetControlError::Announcement)?;
        let id = announcement.id.clone();
        let (outcome, record) = {
            let mut directory = self.directory.lock();
            let outcome = directory.apply_announcement(lift_clock::now(), announcement);
            (outcome, directory.get(&id).cloned())
        };
        match outcome {
            lift_fleet::UpdateOutcome::Stale => {
                self.node.counters.increment("control.heartbeat_stale")
            }
            lift_fleet::UpdateOutcome::Refreshed => self.refreshed.lock().extend(record),
            lift_fleet::UpdateOutcome::Changed => self.push_backends(record.into_iter().collect()),
        }
        Ok(())
    }

    fn deregister(&self, id: &str, started_at: Option<time::SystemTime>) -> Result<()> {
        self.check_quorum()?;
        let changed = self
            .directory
            .lock()
            .deregister(lift_clock::now(), id, started_at);
        self.push_backends(changed.into_iter().collect());
        Ok(())
    }
}

impl registry::Registry {
    async fn propose(&self, command: &lift_fleet::FleetCommand) -> Result<lift_fleet::FleetReply> {
        let (log, _) = self.current_log.leader_log()?;
        self.check_readable()?;
        let command = fleet_state_machine::FleetStateMachine::encode(command);
        let command = command.ok_or(fleet_control_error::FleetControlError::Unavailable)?;
        let reply = match log.propose(command).await {
            Ok(reply) => reply,
            Err(report) => {
                self.node.counters.increment("control.propose_failed");
                let error = match report.current_context() {
                    lift_log::ProposeError::NotLeader => {
                        fleet_control_error::FleetControlError::NotLeader {
                            leader: self.current_log.other_leader(),
                        }
                    }
                    lift_log::ProposeError::Busy | lift_log::ProposeError::TooLong { .. } => {
                        fleet_control_error::FleetControlError::Unavailable
                    }
                    lift_log::ProposeError::Unknown | lift_log::ProposeError::Stopped => {
                        fleet_control_error::FleetControlError::Unknown
                    }
                };
                return Err(report.change_context(error));
            }
        };
        let reply = fleet_state_machine::FleetStateMachine::decode_reply(&reply);
        Ok(reply.ok_or(fleet_control_error::FleetControlError::Unknown)?)
    }

    /// Rejects a failure domain that is neither in the settings nor evacuated. Only the leader
    /// decides, since the settings of the members may differ while they are changed.
    fn check_failure_domain(&self, failure_domain: &str) -> Result<()> {
        self.current_log.leader_log()?;
        let is_known = self.failure_domains.contains(failure_domain)
            || self.state_machine.evacuations().contains(failure_domain);
        if is_known {
            return Ok(());
        }
        let unknown = String::from(failure_domain);
        Err(error_stack::Report::new(
            fleet_control_error::FleetControlError::FailureDomain(unknown),
        ))
    }

    /// Rejects announcements and deregistrations if this member can't reach a quorum. They would
    /// not reach the nodes that are connected to the quorum, so the backend server should call
    /// another member.
    fn check_quorum(&self) -> Result<()> {
        if self.current_log.can_reach_quorum() {
            return Ok(());
        }
        self.node.counters.increment("control.heartbeat_refused");
        Err(error_stack::Report::new(
            fleet_control_error::FleetControlError::Unavailable,
        ))
    }

    fn check_readable(&self) -> Result<()> {
        if self.state_machine.unreadable_commands() == 0 {
            return Ok(());
        }
        Err(error_stack::Report::new(
            fleet_control_error::FleetControlError::Unavailable,
        ))
    }
}

fn outcome(reply: &Result<lift_fleet::FleetReply>) -> String {
    match reply {
        Ok(reply) => format!("{reply:?}"),
        Err(report) => report.current_context().to_string(),
    }
}
