//! Versions on which a request may begin.

/// What a backend server must hold to get a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WeightsNeed {
    /// The model, or `None` where the request names none.
    pub model: Option<lift_fleet::ModelName>,
    /// Lowest version of its weights.
    pub at_least: lift_fleet::WeightsVersion,
    /// The only version, where an earlier run has used it.
    pub exactly: Option<lift_fleet::WeightsVersion>,
}

impl WeightsNeed {
    /// Whether a backend server with `models` may get the request.
    pub fn is_met_by(&self, models: &[lift_fleet::LoadedModel]) -> bool {
        let Some(name) = &self.model else {
            return true;
        };
        models.iter().any(|model| {
            let is_exact = self.exactly.is_none_or(|version| version == model.version);
            model.name == *name && model.version >= self.at_least && is_exact
        })
    }
}
