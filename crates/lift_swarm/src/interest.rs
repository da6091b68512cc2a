//! Chunks that another agent needs announcements about.

/// Version that another agent fetches, and the key groups it needs announcements about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Interest {
    pub(crate) version: lift_types::VersionId,
    /// `None` for all groups.
    groups: Option<indexmap::IndexSet<lift_types::KeyGroup>>,
}

impl Interest {
    pub(crate) fn new(
        version: lift_types::VersionId,
        groups: Option<Vec<lift_types::KeyGroup>>,
    ) -> Self {
        let groups = groups.map(|groups| groups.into_iter().collect());
        Self { version, groups }
    }

    /// Returns those of `chunks` that are to be announced to the agent.
    pub(crate) fn filter(
        &self,
        manifest: &lift_types::Manifest,
        chunks: &[lift_types::ChunkIndex],
    ) -> Vec<lift_types::ChunkIndex> {
        if self.version != manifest.version {
            return Vec::new();
        }
        let Some(groups) = &self.groups else {
            return chunks.to_vec();
        };
        let all = chunks.iter().copied();
        all.filter(|chunk| groups.contains(&manifest.key_group(*chunk)))
            .collect()
    }
}
