//! Replicated state of the fleet.

use std::sync;

use crate::{
    document, document_version, evacuations, fleet_command, fleet_reply, model_name,
    weights_version,
};

/// State that control members replicate: the document with the highest version, the target
/// version of each model's weights, and the evacuated failure domains. Equal sequences of commands
/// give equal states, also if some of them are applied twice.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct FleetState {
    pub(crate) document: Option<sync::Arc<document::Document>>,
    pub(crate) target_versions:
        indexmap::IndexMap<model_name::ModelName, weights_version::WeightsVersion>,
    pub(crate) evacuations: evacuations::Evacuations,
}

impl FleetState {
    /// Creates a state without a document and without target versions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the command of the log entry at `index`. It has an effect only if it is newer than
    /// what it changes: by its version, or else by `index`.
    pub fn apply(
        &mut self,
        index: lift_types::LogIndex,
        command: fleet_command::FleetCommand,
    ) -> fleet_reply::FleetReply {
        let is_applied = match command {
            fleet_command::FleetCommand::Replace(document) => self.replace(document),
            fleet_command::FleetCommand::SetTargetVersion { model, version } => {
                self.set_target_version(model, version)
            }
            fleet_command::FleetCommand::Evacuate { failure_domain } => {
                self.evacuations.evacuate(index, failure_domain)
            }
            fleet_command::FleetCommand::Restore { failure_domain } => {
                self.evacuations.restore(index, &failure_domain)
            }
        };
        match is_applied {
            true => fleet_reply::FleetReply::Applied,
            false => fleet_reply::FleetReply::Overtaken,
        }
    }

    /// The document in force.
    pub fn document(&self) -> Option<&sync::Arc<document::Document>> {
        self.document.as_ref()
    }

    /// Version of the document in force, 0 where there is none.
    pub fn document_version(&self) -> document_version::DocumentVersion {
        self.document.as_ref().map_or(0, |d| d.version)
    }

    /// Target version of each model's weights.
    pub fn target_versions(
        &self,
    ) -> &indexmap::IndexMap<model_name::ModelName, weights_version::WeightsVersion> {
        &self.target_versions
    }

    /// Evacuated failure domains.
    pub fn evacuations(&self) -> &evacuations::Evacuations {
        &self.evacuations
    }

    fn replace(&mut self, document: document::Document) -> bool {
        let is_newer = self
            .document
            .as_ref()
            .is_none_or(|held| document.version > held.version);
        if is_newer {
            self.document = Some(sync::Arc::new(document));
        }
        is_newer
    }

    fn set_target_version(
        &mut self,
        model: model_name::ModelName,
        version: weights_version::WeightsVersion,
    ) -> bool {
        let held = self.target_versions.entry(model).or_default();
        let is_newer = version > *held;
        *held = version.max(*held);
        is_newer
    }
}
