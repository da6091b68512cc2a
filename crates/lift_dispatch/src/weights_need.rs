//! Versions on which a request may begin.

/// What a backend server must hold to get a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WeightsNeed {
    /// The model, or `None` where the request names none.
    pub model: Option<lift_fleet::ModelName>,
    /// Lowest version of its weights.
    pub at_least: lift_fleet::WeightsVersion,
    /// Lowest version at a backend server that may begin late.
    pub at_least_if_slow: lift_fleet::WeightsVersion,
    /// The only version, where an earlier run has used it.
    pub exactly: Option<lift_fleet::WeightsVersion>,
}

impl WeightsNeed {
    /// Whether a backend server with `models` may get the request. `is_slow` says that it may
    /// begin late.
    pub fn is_met_by(&self, models: &[lift_fleet::LoadedModel], is_slow: bool) -> bool {
        let Some(name) = &self.model else {
            return true;
        };
        let at_least = match is_slow {
            true => self.at_least_if_slow,
            false => self.at_least,
        };
        models.iter().any(|model| {
            let is_exact = self.exactly.is_none_or(|version| version == model.version);
            model.name == *name && model.version >= at_least && is_exact
        })
    }

    /// Version that a backend server with `models` is asked for, if it must not be another one.
    /// It is the one that it holds: a server refuses a request for an older one, too.
    pub fn asked_of(
        &self,
        models: &[lift_fleet::LoadedModel],
    ) -> Option<lift_fleet::WeightsVersion> {
        if self.exactly.is_some() || self.at_least == 0 {
            return self.exactly;
        }
        let name = self.model.as_deref()?;
        let held = models.iter().find(|model| model.name == name);
        let held = held.map_or(self.at_least, |model| model.version);
        Some(held.max(self.at_least))
    }
}
