//! What a download is told.

use std::time;

use crate::{source, swarm_view};

/// Event of a [`crate::Download`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DownloadEvent {
    /// A new view of the swarm.
    View(swarm_view::SwarmView),
    /// A connection to an agent is open.
    PeerUp {
        /// Where the agent is.
        place: lift_types::Place,
    },
    /// The connection to an agent has ended, or the agent could not be reached.
    PeerDown {
        /// The agent.
        host: lift_types::HostId,
    },
    /// An agent holds these chunks.
    Have {
        /// The agent.
        host: lift_types::HostId,
        /// Positions of the chunks.
        chunks: Vec<lift_types::ChunkIndex>,
    },
    /// The chunk is in the own store, verified: kept from before, or part of another
    /// version.
    Held {
        /// Position of the chunk.
        chunk: lift_types::ChunkIndex,
    },
    /// A chunk has arrived, was verified and stored.
    Arrived {
        /// Position of the chunk.
        chunk: lift_types::ChunkIndex,
        /// Who sent it.
        source: source::Source,
    },
    /// A chunk has arrived with a wrong hash and was dropped.
    Corrupt {
        /// Position of the chunk.
        chunk: lift_types::ChunkIndex,
        /// Who sent it.
        source: source::Source,
    },
    /// The source refused the request or failed; it may be asked again after a while.
    Refused {
        /// Position of the chunk.
        chunk: lift_types::ChunkIndex,
        /// Who refused it.
        source: source::Source,
        /// Time for which the source wants to be left alone, where it said so.
        retry_after: Option<time::Duration>,
    },
    /// The agent does not hold the chunk, although it was thought to.
    Missing {
        /// Position of the chunk.
        chunk: lift_types::ChunkIndex,
        /// The agent.
        host: lift_types::HostId,
    },
    /// The whole does not match its hash although each chunk does: the manifest is wrong.
    WholeCorrupt,
    /// Another version is wanted now.
    Superseded,
    /// The link bears this share of the usual chunk traffic.
    Pressure {
        /// Share in percent.
        percent: u32,
    },
    /// Time has passed.
    Clock {
        /// Live requests in progress at the host, to which the download yields.
        live: u32,
    },
}
