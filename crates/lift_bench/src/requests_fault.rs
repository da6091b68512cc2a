//! Faults of the request experiment.

/// What goes wrong a third into the run.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::EnumString,
    strum::VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RequestsFault {
    /// Nothing.
    #[default]
    None,
    /// The open connections to one model agent and one ledger agent stop delivering data,
    /// without an error; new ones work. It happens twice.
    Silent,
    /// One engine and one ledger give the answers of other requests for a third of the run.
    Crossed,
    /// One model agent and one ledger agent are killed.
    KillAgent,
    /// One entry is killed.
    KillEntry,
    /// One entry, one model agent and one ledger agent are stopped gracefully.
    Drain,
}
