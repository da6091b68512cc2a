//! When the versions of one model's weights were named.

use std::time;

use crate::{naming, weights_version};

/// Namings of one model that are kept. Each matters for as long as older weights may be in use,
/// which is seconds.
const MAX_NAMINGS: usize = 9;

/// Difference from which a later time of a naming is news.
const MIN_CORRECTION: time::Duration = time::Duration::from_millis(50);

/// Versions of one model's weights that were named, with times before which they were not.
///
/// The time of a naming limits the use of all older versions. So a version must not be left out
/// because its time is unknown: the next naming would be taken for the one that limits them. And a
/// time may be too early, but never later than the naming, as the time at which somebody hears of
/// it would be. See `docs/incidents/lost-naming-times.md`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NamingTimes {
    /// The oldest version first.
    namings: Vec<naming::Naming>,
    /// Whether the first naming stands for those before it as well.
    is_pruned: bool,
}

impl NamingTimes {
    /// Records that `version` was not named before `not_before`, if that is known. Of several such
    /// times the latest tells most. Returns whether that changed anything.
    pub fn learn(
        &mut self,
        version: weights_version::WeightsVersion,
        not_before: Option<time::Instant>,
    ) -> bool {
        let position = self.namings.partition_point(|n| n.version < version);
        if position == 0 && self.is_pruned {
            return false;
        }
        match self.namings.get_mut(position) {
            Some(known) if known.version == version => {
                let is_news = is_correction(known.not_before, not_before);
                if is_news {
                    known.not_before = not_before;
                }
                is_news
            }
            _ => {
                let naming = naming::Naming {
                    version,
                    not_before,
                };
                self.namings.insert(position, naming);
                self.prune();
                true
            }
        }
    }

    /// All namings that are kept, the oldest version first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &naming::Naming> {
        self.namings.iter()
    }

    /// The naming of `version`, if it is kept.
    pub fn get(&self, version: weights_version::WeightsVersion) -> Option<&naming::Naming> {
        self.namings.iter().find(|n| n.version == version)
    }

    /// The naming of the newest version.
    pub fn newest(&self) -> Option<&naming::Naming> {
        self.namings.last()
    }

    /// The naming that limits the use of `version`, which is the first of a newer one.
    pub fn superseding(&self, version: weights_version::WeightsVersion) -> Option<&naming::Naming> {
        self.namings.iter().find(|n| n.version > version)
    }

    /// Drops the oldest naming if there are too many. The next one takes over the earlier time, so
    /// that the use of still older versions is not extended.
    fn prune(&mut self) {
        if self.namings.len() <= MAX_NAMINGS {
            return;
        }
        let oldest = self.namings.remove(0);
        if let Some(first) = self.namings.first_mut() {
            first.not_before = first.not_before.min(oldest.not_before);
            self.is_pruned = true;
        }
    }
}

/// Whether `not_before` tells more than `known`.
fn is_correction(known: Option<time::Instant>, not_before: Option<time::Instant>) -> bool {
    match (known, not_before) {
        (None, not_before) => not_before.is_some(),
        (Some(known), Some(not_before)) => not_before >= known + MIN_CORRECTION,
        (Some(_), None) => false,
    }
}
