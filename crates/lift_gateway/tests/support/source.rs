//! State that the control member of these tests pushes.

use std::{sync, time};

/// Documents and the backend servers that were announced.
#[derive(Debug, Default)]
pub(crate) struct Source {
    pub(crate) backends: parking_lot::Mutex<Vec<lift_fleet::BackendRecord>>,
    pub(crate) is_leader: sync::atomic::AtomicBool,
    /// Number of documents that have replaced the first one.
    pub(crate) replaced: sync::atomic::AtomicU64,
    /// Target versions, and when each was named.
    pub(crate) weights: parking_lot::Mutex<
        indexmap::IndexMap<lift_fleet::ModelName, (lift_fleet::WeightsVersion, time::Instant)>,
    >,
    pub(crate) evacuations: parking_lot::Mutex<lift_fleet::Evacuations>,
}

impl Source {
    fn version(&self) -> lift_fleet::DocumentVersion {
        1 + self.replaced.load(sync::atomic::Ordering::SeqCst)
    }
}

#[async_trait::async_trait]
impl lift_feed::FeedSource for Source {
    fn members(&self) -> (Vec<lift_feed::MemberCard>, u64) {
        (Vec::new(), 0)
    }

    fn head(&self) -> lift_feed::FleetHead {
        let weights = self.weights.lock();
        let named = weights.iter().map(|(model, (version, at))| {
            let named = lift_feed::NamedWeights {
                version: *version,
                named_for: Some(at.elapsed()),
                earlier: Vec::new(),
            };
            (model.clone(), named)
        });
        lift_feed::FleetHead {
            document: self.version(),
            weights: named.collect(),
            evacuations: self.evacuations.lock().clone(),
        }
    }

    fn document(&self) -> Option<sync::Arc<lift_fleet::Document>> {
        let version = self.version();
        let compressed = lift_feed::pack(version.to_string().as_bytes()).unwrap();
        Some(sync::Arc::new(lift_fleet::Document {
            version,
            compressed,
        }))
    }

    fn backends(&self) -> Vec<lift_fleet::BackendRecord> {
        self.backends.lock().clone()
    }

    fn confirm(&self) -> Option<lift_feed::Confirmation> {
        let is_leader = self.is_leader.load(sync::atomic::Ordering::SeqCst);
        is_leader.then(|| lift_feed::Confirmation {
            document: self.version(),
            evacuations: self.evacuations.lock().revision(),
        })
    }

    async fn join(&self, _: lift_feed::Newcomer) -> lift_feed::JoinAnswer {
        lift_feed::JoinAnswer::Later
    }
}
