//! The journeys.

/// What the faults are injected into.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Journey {
    /// A version spreads to all hosts.
    Spread,
    /// A non-idempotent request runs.
    Request,
    /// A change of the configuration is accepted and comes into force.
    Config,
}

impl Journey {
    /// What the cells of this journey check.
    pub fn guards(self) -> &'static str {
        match self {
            Self::Spread => {
                "A host advertises only a version that its engine has loaded whole; orders of \
                 two incarnations never overlap; once the fault has ended every host serves the \
                 version that the policy asks for."
            }
            Self::Request => {
                "The request runs at most once; \"not run\" is told only where it did not run \
                 and never will; a given answer is the one of this request; every sending ends."
            }
            Self::Config => {
                "An accepted change is kept by all members under its revision; of two changes \
                 with one expected revision one wins; a resent change gets the first answer; no \
                 node goes back; 3 s after acceptance each node has the revision or takes no \
                 new work."
            }
        }
    }
}
