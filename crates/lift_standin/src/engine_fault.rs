//! Faults of the engine stand-in.

/// What the engine does with a load order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineFault {
    /// Follows it.
    #[default]
    None,
    /// Refuses it.
    Refuse,
    /// Dies: it serves nothing and answers nothing from then on.
    Die,
}
