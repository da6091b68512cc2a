//! Messages between agents.

use crate::piece_manifest;

/// Message about the pieces of one version. The agent that connects asks, the other one
/// answers.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub(crate) enum PieceMessage {
    /// The first message: asks for the pieces of a version.
    Want {
        /// The model.
        model: lift_fleet::ModelName,
        /// Version of its weights.
        version: lift_fleet::WeightsVersion,
    },
    /// Asks for the manifest of a version. It is the only message of its connection.
    AskManifest {
        /// The model.
        model: lift_fleet::ModelName,
        /// Version of its weights.
        version: lift_fleet::WeightsVersion,
    },
    /// The manifest that was asked for.
    Manifest(piece_manifest::PieceManifest),
    /// The other agent holds these pieces, besides those that it named before.
    Have(Vec<lift_types::ChunkIndex>),
    /// The other agent works on another version.
    Unknown,
    /// Asks for a piece.
    Get(lift_types::ChunkIndex),
    /// A piece.
    Piece {
        /// Its position.
        index: lift_types::ChunkIndex,
        /// Its bytes.
        bytes: bytes::Bytes,
    },
    /// Too many requests wait.
    Busy(lift_types::ChunkIndex),
    /// The piece is not held, or not any more.
    Missing(lift_types::ChunkIndex),
    /// Shows that the connection lives.
    Ping,
}
