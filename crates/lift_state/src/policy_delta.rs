//! Difference between two revisions of the policy.

/// Changes that turn the policy of one revision into the policy of a later one. A delta is
/// much smaller than a policy with many exceptions.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct PolicyDelta {
    from: lift_types::Revision,
    to: lift_types::Revision,
    version: Option<lift_types::VersionId>,
    default: Option<lift_types::PolicyDefault>,
    removed: Vec<String>,
    added: Vec<lift_types::PolicyException>,
}

impl PolicyDelta {
    /// Computes the delta from `old` to `new`. Returns `None` if applying it would not give
    /// exactly `new`.
    pub fn between(old: &lift_types::Policy, new: &lift_types::Policy) -> Option<Self> {
        let added: Vec<_> = new
            .exceptions
            .iter()
            .filter(|e| e.since > old.revision)
            .cloned()
            .collect();
        let removed = old
            .exceptions
            .iter()
            .filter(|e| !new.exceptions.contains(e))
            .map(|e| e.id.clone())
            .collect();
        let mut delta = Self {
            from: old.revision,
            to: new.revision,
            version: None,
            default: None,
            removed,
            added,
        };
        if old.default != new.default {
            delta.set_default(&old.default, &new.default);
        }
        (delta.apply(old).as_ref() == Some(new)).then_some(delta)
    }

    /// Applies the delta to `old`. Returns `None` if `old` does not have the revision that the
    /// delta is based on.
    pub fn apply(&self, old: &lift_types::Policy) -> Option<lift_types::Policy> {
        if old.revision != self.from {
            return None;
        }
        let mut new = old.clone();
        new.revision = self.to;
        if let Some(version) = &self.version {
            new.default.version = Some(version.clone());
        }
        if let Some(default) = &self.default {
            new.default = default.clone();
        }
        new.exceptions.retain(|e| !self.removed.contains(&e.id));
        new.exceptions.extend(self.added.iter().cloned());
        Some(new)
    }

    /// Revision of the policy after the delta is applied.
    pub fn revision(&self) -> lift_types::Revision {
        self.to
    }

    /// Sets only the version if nothing else of the default changed: this is the usual change,
    /// and much smaller than the whole default.
    fn set_default(&mut self, old: &lift_types::PolicyDefault, new: &lift_types::PolicyDefault) {
        let with_version = lift_types::PolicyDefault {
            version: new.version.clone(),
            ..old.clone()
        };
        if with_version == *new && new.version.is_some() {
            self.version = new.version.clone();
            return;
        }
        self.default = Some(new.clone());
    }
}
