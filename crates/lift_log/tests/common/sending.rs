//! One command that was sent to a cluster.

/// A command under a name of its own, so that a repeated one can be told apart.
#[derive(Clone, Debug)]
pub struct Sending {
    pub name: String,
    pub outcome: Outcome,
}

impl Sending {
    /// A command has an unknown outcome until it is answered.
    pub fn new(name: String) -> Self {
        Self {
            name,
            outcome: Outcome::Unknown,
        }
    }
}

/// What the sender was told.
#[derive(Clone, Copy, Debug)]
pub enum Outcome {
    /// Applied as the command of this number, from 1.
    Acknowledged(u64),
    Unknown,
    Refused,
}
