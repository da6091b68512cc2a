//! Copy and replacement of the whole state.

use std::collections;

use crate::{state, state_image};

impl state::State {
    /// Copies the whole state. Must not run while a command is applied.
    pub fn image(&self) -> state_image::StateImage {
        let counters = self.counters.with_position(0, |c| *c);
        let config = self.config.with_position(0, |config| config.clone());
        let manifests = config.versions().iter().filter_map(|v| self.manifest(v));
        let manifests = manifests.collect();
        let mut image = state_image::StateImage {
            config,
            manifests,
            last_incarnation: counters.incarnation,
            last_fencing: counters.fencing,
            last_claim_at: counters.claim_at,
            ..state_image::StateImage::default()
        };
        self.answers
            .for_each(|answers| image.answers.push(answers.clone()));
        self.hosts.for_each(|hosts| {
            image
                .hosts
                .extend(hosts.iter().map(|(k, v)| (*k, v.clone())))
        });
        self.claims
            .for_each(|group| image.claims.push(group.clone()));
        image
    }

    /// Replaces the whole state. Returns `false`, and changes nothing, where the number of
    /// shards in the image is not that of this version.
    pub fn restore(&self, image: state_image::StateImage) -> bool {
        if image.answers.len() != self.answers.count() || image.claims.len() != self.claims.count()
        {
            return false;
        }
        let counters = state::Counters {
            incarnation: image.last_incarnation,
            fencing: image.last_fencing,
            claim_at: image.last_claim_at,
        };
        self.counters.with_position(0, |c| *c = counters);
        self.config
            .with_position(0, |config| *config = image.config);
        self.manifests.for_each(collections::HashMap::clear);
        for manifest in image.manifests {
            self.keep_manifest(manifest);
        }
        self.hosts.for_each(collections::HashMap::clear);
        for (host, registered) in image.hosts {
            self.hosts
                .with(&host, |hosts| hosts.insert(host, registered));
        }
        for (i, answers) in image.answers.into_iter().enumerate() {
            self.answers.with_position(i, |shard| *shard = answers);
        }
        for (i, group) in image.claims.into_iter().enumerate() {
            self.claims.with_position(i, |shard| *shard = group);
        }
        true
    }
}
