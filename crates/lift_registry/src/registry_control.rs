//! The control operations of a member.

use std::time;

use error_stack::ResultExt as _;

use crate::{control_fault, fleet_control, fleet_machine, registry};

type Result<T> = std::result::Result<T, error_stack::Report<control_fault::ControlFault>>;

#[async_trait::async_trait]
impl fleet_control::FleetControl for registry::Registry {
    async fn replace(&self, text: bytes::Bytes) -> Result<lift_fleet::FleetReply> {
        self.slot.leading()?;
        let table = self.node.codec.decode(&text);
        let table = table.map_err(control_fault::ControlFault::Invalid)?;
        let version = table.version();
        if version <= self.machine.document_version() {
            self.slot.leading()?;
            return Ok(lift_fleet::FleetReply::Overtaken);
        }
        let compressed = lift_feed::pack(&text);
        let compressed = compressed.change_context(control_fault::ControlFault::Unavailable)?;
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
        let document = self.machine.document();
        // The lease is checked after the state was read, so that no newer document can have
        // been acknowledged by another leader before.
        self.slot.leading()?;
        self.check_readable()?;
        let Some(document) = document else {
            return Ok(None);
        };
        let text = lift_feed::unpack(&document.compressed);
        Ok(Some(text.change_context(
            control_fault::ControlFault::Unavailable,
        )?))
    }

    async fn name_weights(
        &self,
        model: lift_fleet::ModelName,
        version: lift_fleet::WeightsVersion,
    ) -> Result<lift_fleet::FleetReply> {
        let command = lift_fleet::FleetCommand::SetTargetVersion {
            model: model.clone(),
            version,
        };
        let reply = self.propose(&command).await;
        slog::info!(self.node.log, "weights named"; "model" => model, "version" => version,
            "outcome" => outcome(&reply));
        reply
    }

    fn announce(&self, announcement: lift_fleet::Announcement) -> Result<()> {
        self.check_in_touch()?;
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
            lift_fleet::UpdateOutcome::Changed => self.push(record.into_iter().collect()),
        }
        Ok(())
    }

    fn leave(&self, id: &str, born: Option<time::SystemTime>) -> Result<()> {
        self.check_in_touch()?;
        let left = self
            .directory
            .lock()
            .deregister(lift_clock::now(), id, born);
        self.push(left.into_iter().collect());
        Ok(())
    }
}

impl registry::Registry {
    async fn propose(&self, command: &lift_fleet::FleetCommand) -> Result<lift_fleet::FleetReply> {
        let (log, _) = self.slot.leading()?;
        self.check_readable()?;
        let command = fleet_machine::FleetMachine::encode(command);
        let command = command.ok_or(control_fault::ControlFault::Unavailable)?;
        let reply = match log.propose(command).await {
            Ok(reply) => reply,
            Err(report) => {
                self.node.counters.increment("control.propose_failed");
                let fault = match report.current_context() {
                    lift_log::ProposeError::NotLeader => control_fault::ControlFault::NotLeader {
                        leader: self.slot.leader_elsewhere(),
                    },
                    lift_log::ProposeError::Busy | lift_log::ProposeError::TooLong { .. } => {
                        control_fault::ControlFault::Unavailable
                    }
                    lift_log::ProposeError::Unknown | lift_log::ProposeError::Stopped => {
                        control_fault::ControlFault::Unknown
                    }
                };
                return Err(report.change_context(fault));
            }
        };
        let reply = fleet_machine::FleetMachine::decode_reply(&reply);
        Ok(reply.ok_or(control_fault::ControlFault::Unknown)?)
    }

    /// A member that can't reach a quorum takes no heartbeats: the nodes that follow the
    /// quorum would not hear of them, so the backend server does better to ask another one.
    fn check_in_touch(&self) -> Result<()> {
        if self.slot.is_in_touch() {
            return Ok(());
        }
        self.node.counters.increment("control.heartbeat_refused");
        Err(error_stack::Report::new(
            control_fault::ControlFault::Unavailable,
        ))
    }

    fn check_readable(&self) -> Result<()> {
        if self.machine.unreadable() == 0 {
            return Ok(());
        }
        Err(error_stack::Report::new(
            control_fault::ControlFault::Unavailable,
        ))
    }
}

fn outcome(reply: &Result<lift_fleet::FleetReply>) -> String {
    match reply {
        Ok(reply) => format!("{reply:?}"),
        Err(report) => report.current_context().to_string(),
    }
}
