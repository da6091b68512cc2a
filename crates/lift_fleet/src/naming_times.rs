//! When the versions of one model's weights were named.

use std::time;

use crate::{naming, weights_version};

/// Namings of one model that are kept. Each matters for as long as older weights may be in use,
/// which is seconds.
const MAX_NAMINGS: usize = 9;

/// Difference from which another time of a naming is news. Members apply a naming within a few
/// milliseconds of each other.
const MIN_CORRECTION: time::Duration = time::Duration::from_millis(50);

/// Versions of one model's weights that were named, with their times.
///
/// The time of a naming limits the use of all older versions, so a version must not be left out
/// because its time is unknown: the next naming would be taken for the one that limits them. See
/// `docs/incidents/lost-naming-times.md`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NamingTimes {
    /// The oldest version first.
    namings: Vec<naming::Naming>,
    /// Whether the first naming stands for those before it as well.
    is_pruned: bool,
}

impl NamingTimes {
    /// Records that `version` was named at `named_at`. Of two times the earlier one counts, and an
    /// unknown one only until another is learned. Returns whether that changed anything.
    pub fn learn(
        &mut self,
        version: weights_version::WeightsVersion,
        named_at: Option<time::Instant>,
    ) -> bool {
        let position = self.namings.partition_point(|n| n.version < version);
        if position == 0 && self.is_pruned {
            return false;
        }
        match self.namings.get_mut(position) {
            Some(known) if known.version == version => {
                let is_news = is_correction(known.named_at, named_at);
                if is_news {
                    known.named_at = named_at;
                }
                is_news
            }
            _ => {
                let named = naming::Naming { version, named_at };
                self.namings.insert(position, named);
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
            first.named_at = first.named_at.min(oldest.named_at);
            self.is_pruned = true;
        }
    }
}

/// Whether `named_at` is better known than `known`.
fn is_correction(known: Option<time::Instant>, named_at: Option<time::Instant>) -> bool {
    match (known, named_at) {
        (None, named_at) => named_at.is_some(),
        (Some(known), Some(named_at)) => named_at + MIN_CORRECTION <= known,
        (Some(_), None) => false,
    }
}
