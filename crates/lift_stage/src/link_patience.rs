//! How long an agent waits for other agents.

use std::time;

/// Times on an uncongested link: to open a connection, and of silence.
const USUAL: LinkPatience = LinkPatience {
    connect: time::Duration::from_millis(600),
    silence: time::Duration::from_millis(1_100),
    probe: time::Duration::from_millis(250),
    may_suspect: true,
};

/// Times on a congested link, on which answers wait for seconds.
const CONGESTED: LinkPatience = LinkPatience {
    connect: time::Duration::from_secs(3),
    silence: time::Duration::from_secs(5),
    probe: time::Duration::from_secs(3),
    may_suspect: false,
};

/// How long an agent waits for other agents, and what it concludes then.
///
/// Behind a congested link all other agents seem to be silent. An agent that gave them up would
/// open connections to one after the other, and throw away the pieces that are on their way; both
/// fill its link further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkPatience {
    /// Time to open a connection.
    pub connect: time::Duration,
    /// Silence after which a connection is replaced. The other end sends a ping at least every
    /// 300 ms.
    pub silence: time::Duration,
    /// Time in which a probe of the origin must connect. Each probe is a connection of its own: one
    /// that was begun while the host of the origin was down is retried by the system after seconds
    /// only.
    pub probe: time::Duration,
    /// Whether an agent that can't be reached or is silent counts as lost, and the origin as away.
    pub may_suspect: bool,
}

impl LinkPatience {
    /// Longest silence after which a connection is replaced.
    pub const MAX_SILENCE: time::Duration = CONGESTED.silence;

    /// Patience of an agent whose own link can carry `percent` of the usual traffic.
    pub fn of_link(percent: u32) -> Self {
        match percent {
            100.. => USUAL,
            _ => CONGESTED,
        }
    }
}
