//! Events that a download handles.

use std::time;

use crate::{source, swarm_view};

/// Input of [`crate::Download::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DownloadEvent {
    /// A new view of the swarm is available.
    View(swarm_view::SwarmView),
    /// A connection to an agent is open.
    PeerUp {
        /// Location of the agent.
        location: lift_types::Location,
    },
    /// The connection to an agent has ended, or the agent could not be reached.
    PeerDown {
        /// Host of the agent.
        host: lift_types::HostId,
    },
    /// An agent announced that it holds these chunks. An announcement without chunks shows that
    /// the agent fetches the version.
    Have {
        /// Host of the agent.
        host: lift_types::HostId,
        /// Indices of the chunks.
        chunks: Vec<lift_types::ChunkIndex>,
    },
    /// The chunk is already in the local store and verified: kept from before a restart, or
    /// shared with another version.
    Held {
        /// Index of the chunk.
        chunk: lift_types::ChunkIndex,
    },
    /// A chunk has arrived and was verified and stored.
    Arrived {
        /// Index of the chunk.
        chunk: lift_types::ChunkIndex,
        /// Source that sent it.
        source: source::Source,
    },
    /// A chunk has arrived with a wrong hash and was dropped.
    Corrupt {
        /// Index of the chunk.
        chunk: lift_types::ChunkIndex,
        /// Source that sent it.
        source: source::Source,
    },
    /// The source refused the request or failed. The chunk may be requested again after a pause.
    Refused {
        /// Index of the chunk.
        chunk: lift_types::ChunkIndex,
        /// Source that refused it.
        source: source::Source,
        /// Time during which the source asks not to receive requests, if it gave one.
        retry_after: Option<time::Duration>,
    },
    /// The agent does not hold the chunk, contrary to its announcement.
    Missing {
        /// Index of the chunk.
        chunk: lift_types::ChunkIndex,
        /// Host of the agent.
        host: lift_types::HostId,
    },
    /// The complete weights do not match their hash although each chunk does, so the manifest
    /// is wrong.
    WeightsCorrupt,
    /// The target version has changed.
    Superseded,
    /// The origin does not answer, so it is not to be read.
    OriginAway,
    /// The origin accepts connections again.
    OriginBack {
        /// Time for which it has been away.
        away_for: time::Duration,
    },
    /// Limits chunk traffic to a share of the usual amount, because of congestion on the link.
    TrafficShare {
        /// Share in percent; values above 100 count as 100.
        percent: u32,
    },
    /// Periodic event that checks timeouts.
    Tick {
        /// Number of live requests in progress on the host. While it is above zero, the download
        /// halves its window.
        live: u32,
    },
}
