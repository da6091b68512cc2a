//! How processes start anew in a retry storm.

/// What happens each time when the restart interval has passed.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum StormRestart {
    /// The next gateway is killed and started again.
    #[default]
    Kill,
    /// The next gateway is stopped as planned and started again.
    Stop,
    /// All processes are killed and started again.
    KillAll,
    /// The next control member is killed and started again.
    KillControl,
    /// The next gateway stands still until the next one does.
    Pause,
    /// Nothing.
    None,
}
