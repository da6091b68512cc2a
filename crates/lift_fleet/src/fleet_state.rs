//! What control members agree on.

use std::sync;

use crate::{document, document_version, fleet_command, fleet_reply, model_name, weights_version};

/// The document with the highest version, and the newest version that was named of each
/// model's weights. Equal sequences of commands give equal states.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct FleetState {
    document: Option<sync::Arc<document::Document>>,
    weights: indexmap::IndexMap<model_name::ModelName, weights_version::WeightsVersion>,
}

impl FleetState {
    /// Starts without a document.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one command.
    pub fn apply(&mut self, command: fleet_command::FleetCommand) -> fleet_reply::FleetReply {
        let is_applied = match command {
            fleet_command::FleetCommand::Replace(document) => self.replace(document),
            fleet_command::FleetCommand::NameWeights { model, version } => {
                self.name_weights(model, version)
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

    /// Newest named weights of each model.
    pub fn weights(
        &self,
    ) -> &indexmap::IndexMap<model_name::ModelName, weights_version::WeightsVersion> {
        &self.weights
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

    fn name_weights(
        &mut self,
        model: model_name::ModelName,
        version: weights_version::WeightsVersion,
    ) -> bool {
        let held = self.weights.entry(model).or_default();
        let is_newer = version > *held;
        *held = version.max(*held);
        is_newer
    }
}
