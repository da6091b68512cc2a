//! The faults.

/// What fails.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// A host dies and comes back without its memory.
    HostDies,
    /// A link delivers nothing for a while and then everything.
    LinkStalls,
    /// A chunk or frame arrives changed.
    DataCorrupt,
    /// The wanted version changes in mid-flight.
    VersionChanges,
    /// A control host is cut off without any error.
    ControlPartitioned,
    /// Two operators or callers act under equal numbers at once.
    Race,
    /// An answer is lost and the sender sends again.
    AnswerLost,
    /// A second host is lost right after the first was repaired.
    SecondLoss,
    /// A process restarts after hundreds of changes.
    Restart,
    /// A connection goes silent for good while new ones work.
    ConnectionSilent,
    /// Two of the above, chosen by the seed, at the same moment.
    TwoAtOnce,
}

impl Fault {
    /// Faults that [`Fault::TwoAtOnce`] combines.
    pub const SINGLE: [Self; 10] = [
        Self::HostDies,
        Self::LinkStalls,
        Self::DataCorrupt,
        Self::VersionChanges,
        Self::ControlPartitioned,
        Self::Race,
        Self::AnswerLost,
        Self::SecondLoss,
        Self::Restart,
        Self::ConnectionSilent,
    ];

    /// The faults to inject: the fault itself, or two that `seed` chooses.
    pub fn parts(self, seed: u64) -> Vec<Self> {
        if self != Self::TwoAtOnce {
            return vec![self];
        }
        let count = Self::SINGLE.len() as u64;
        let first = seed % count;
        let second = (first + 1 + seed / count % (count - 1)) % count;
        vec![Self::SINGLE[first as usize], Self::SINGLE[second as usize]]
    }
}
