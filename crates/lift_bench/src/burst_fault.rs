//! Faults of the burst experiment.

/// What goes wrong during a burst.
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
pub enum BurstFault {
    /// Nothing.
    #[default]
    None,
    /// One in twenty reads of the origin is corrupt.
    Corrupt,
    /// The open connections of a tenth of the hosts stop delivering data, without an error;
    /// new ones work.
    Stall,
    /// A tenth of the hosts is lost for good.
    HostLoss,
    /// Another version, which shares half of its chunks, is set while half of the first one
    /// is transferred. The times are those of the second version.
    Supersede,
}
