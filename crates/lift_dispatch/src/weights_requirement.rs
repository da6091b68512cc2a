//! Weights on which a request may run.

/// Model and versions that a backend server must hold to get a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WeightsRequirement {
    /// The model, or `None` if the request can run on any backend server of its service.
    pub model: Option<lift_fleet::ModelName>,
    /// Lowest allowed version of the model's weights.
    pub min_version: lift_fleet::WeightsVersion,
    /// Lowest allowed version on a backend server that may start the request late.
    pub min_version_if_slow: lift_fleet::WeightsVersion,
    /// The only allowed version, if an earlier attempt has used it.
    pub exact_version: Option<lift_fleet::WeightsVersion>,
}

impl WeightsRequirement {
    /// Whether a backend server with `models` may get the request. `is_slow` means that it may
    /// start the request late.
    pub fn is_met_by(&self, models: &[lift_fleet::LoadedModel], is_slow: bool) -> bool {
        let Some(name) = &self.model else {
            return true;
        };
        let min_version = match is_slow {
            true => self.min_version_if_slow,
            false => self.min_version,
        };
        models.iter().any(|model| {
            let is_exact = self
                .exact_version
                .is_none_or(|version| version == model.version);
            model.name == *name && model.version >= min_version && is_exact
        })
    }

    /// Version of the model that a backend server with `models` holds. `None` if it holds none, or
    /// if the request needs no model.
    pub fn version_held(
        &self,
        models: &[lift_fleet::LoadedModel],
    ) -> Option<lift_fleet::WeightsVersion> {
        let name = self.model.as_deref()?;
        let held = models.iter().find(|model| model.name == name);
        held.map(|model| model.version)
    }

    /// Version to request from a backend server with `models`, or `None` if any version will
    /// do. Without [`Self::exact_version`] this is the version that the server holds, because a
    /// server rejects requests for any other version, even for an older one.
    pub fn version_to_request(
        &self,
        models: &[lift_fleet::LoadedModel],
    ) -> Option<lift_fleet::WeightsVersion> {
        if self.exact_version.is_some() || self.min_version == 0 {
            return self.exact_version;
        }
        self.model.as_ref()?;
        let held = self.version_held(models).unwrap_or(self.min_version);
        Some(held.max(self.min_version))
    }
}
