//! Faults of the configuration experiment.

/// What goes wrong while changes are made.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    clap::ValueEnum,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ConfigFault {
    /// Nothing.
    #[default]
    None,
    /// The leader is killed and restarted 3 s later.
    KillLeader,
    /// The leader is cut off from members and clients, and the nodes of one region from
    /// their entries, without an error. They are reconnected 5 s later.
    CutLeader,
    /// A follower loses its disk and is replaced under a new identity; then the leader is
    /// killed for good.
    LoseDisk,
    /// Two operators make changes with the same expected revision and resend them.
    Race,
}
