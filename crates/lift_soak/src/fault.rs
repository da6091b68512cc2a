//! Faults.

use crate::link_fault;

/// One fault, and the host that it strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A process is killed and started again later.
    Kill(u8),
    /// All processes are killed and started again later.
    KillAll,
    /// A process stands still for a while.
    Pause(u8),
    /// A process is told to stop as planned, even if it does so already, and is started again.
    Stop(u8),
    /// A process is told to read its settings again.
    Reload(u8),
    /// The settings of a process change.
    Resettle(u8),
    /// A control member is killed, loses its disk and is started again.
    Wipe(u8),
    /// A link is harmed for a while.
    Link(u8, link_fault::LinkFault),
    /// All connections to a host are reset.
    Reset(u8),
    /// A backend server crashes and starts anew.
    Crash(u8),
    /// A backend server leaves as planned and comes back later.
    Leave(u8),
    /// A staged piece turns bad.
    Spoil(u8),
    /// The origin fails for a while.
    OriginDown,
    /// The origin hands out wrong pieces for a while.
    OriginSpoilt,
    /// The operator changes the configuration.
    Change,
    /// The operator takes a key away.
    Revoke,
    /// The operator names new weights.
    NameWeights,
}
