//! A cluster in virtual time.

mod checks;
mod host;
mod world;

pub use world::World;

/// How often faults happen.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Messages lost, in percent.
    pub loss: u32,
    /// Messages doubled, in percent.
    pub doubling: u32,
    /// Crashes in 10 s.
    pub crashes: u32,
    /// Changes of members in 10 s.
    pub changes: u32,
    /// Crashes right after a vote was sent, in percent. After the confirmation of an entry
    /// they happen a tenth as often.
    pub ambushes: u32,
}
