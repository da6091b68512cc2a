//! Reads pieces back from the staging area of a backend server.

use std::{sync, time};

use tokio::task;

use crate::{piece_checks, shared, stage_error, staged};

type Result<T> = std::result::Result<T, error_stack::Report<stage_error::StageError>>;

/// What one read has found.
#[derive(Debug)]
struct PieceRead {
    index: lift_types::ChunkIndex,
    started_at: time::Instant,
    is_sound: bool,
}

/// Reads `pieces` back and notes in `checks` which of them are sound, and when that was seen.
/// Returns the others.
///
/// # Errors
///
/// Returns an error if a piece could not be read; nothing is known of the rest then.
pub(crate) async fn read_back(
    shared: &sync::Arc<shared::Shared>,
    staged: &sync::Arc<staged::Staged>,
    pieces: Vec<lift_types::ChunkIndex>,
    checks: &mut piece_checks::PieceChecks,
) -> Result<Vec<lift_types::ChunkIndex>> {
    let mut waiting = pieces.into_iter();
    let mut reads = task::JoinSet::new();
    let mut spoilt = Vec::new();
    loop {
        while reads.len() < checks.reads_at_once() {
            let Some(index) = waiting.next() else {
                break;
            };
            let (shared, staged) = (sync::Arc::clone(shared), sync::Arc::clone(staged));
            reads.spawn(async move { read(&shared, &staged, index).await });
        }
        let Some(ended) = reads.join_next().await else {
            return Ok(spoilt);
        };
        let failed = |_| error_stack::Report::new(stage_error::StageError::Backend);
        let read = ended.map_err(failed)??;
        match read.is_sound {
            true => checks.record(read.index, read.started_at, lift_clock::now()),
            false => spoilt.push(read.index),
        }
    }
}

async fn read(
    shared: &shared::Shared,
    staged: &staged::Staged,
    index: lift_types::ChunkIndex,
) -> Result<PieceRead> {
    let started_at = lift_clock::now();
    let bytes = shared.staged_piece(&staged.manifest, index).await?;
    Ok(PieceRead {
        index,
        started_at,
        is_sound: bytes.is_some_and(|bytes| staged.manifest.matches(index, &bytes)),
    })
}
