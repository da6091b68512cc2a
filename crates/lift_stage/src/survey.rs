//! Looks at the staging area before and when a version is fetched.

use std::{sync, time};

use crate::{inventory, piece_checks, piece_digest, read_back, shared, stage_error, staged};

/// Pause between two reads while nothing else is to be done.
const READ_PAUSE: time::Duration = time::Duration::from_millis(10);

/// Limit of a piece whose manifest is not known, in bytes.
const MAX_PIECE_BYTES: usize = 1024 * 1024;

type Result<T> = std::result::Result<T, error_stack::Report<stage_error::StageError>>;

/// Reads what is staged for `model` for the inventory, once in the life of the
/// process, and stops if a version newer than `held` is named.
pub(crate) async fn survey(
    shared: &shared::Shared,
    model: &str,
    held: lift_fleet::WeightsVersion,
) -> Result<()> {
    if shared.inventory.is_surveyed(model) {
        return Ok(());
    }
    // What an earlier process has written must have taken effect.
    shared.staging_area.wait_until_writable().await;
    let asking = shared.stage.staged(model);
    let listed = shared::within(shared::BACKEND_TIMEOUT, asking).await?;
    let listed: indexmap::IndexSet<_> = listed.into_iter().collect();
    // The pieces of a whole version lie there from the first one on. Other positions may be listed
    // without a piece.
    for index in (0..inventory::MAX_PIECES).take_while(|index| listed.contains(index)) {
        if shared.named(model) > held {
            break;
        }
        let reading = shared.stage.get_piece(model, index, MAX_PIECE_BYTES);
        let bytes = shared::within(shared::BACKEND_TIMEOUT, reading).await?;
        let Some(bytes) = bytes else { break };
        let digest = piece_digest::PieceDigest::of(&bytes);
        shared.inventory.record(model, index, digest);
        tokio::time::sleep(READ_PAUSE).await;
    }
    shared.inventory.set_surveyed(model);
    Ok(())
}

/// Notes which pieces in the staging area belong to the version. The area holds one copy for each
/// model, so pieces of an earlier version may lie there, and some may be equal. Only those that are
/// not in the inventory are read.
pub(crate) async fn look_through(
    shared: &sync::Arc<shared::Shared>,
    staged: &sync::Arc<staged::Staged>,
) -> Result<()> {
    let manifest = &staged.manifest;
    let asking = shared.stage.staged(&manifest.model);
    let listed = shared::within(shared::BACKEND_TIMEOUT, asking).await?;
    // Other positions are of no use, however many the server lists.
    let is_piece = |index: &lift_types::ChunkIndex| manifest.has_piece(*index);
    let listed: indexmap::IndexSet<_> = listed.into_iter().filter(is_piece).collect();
    let mut unknown = Vec::new();
    for index in listed.iter().copied() {
        match shared.inventory.digest(&manifest.model, index) {
            Some(digest) if manifest.digests.get(index as usize) == Some(&digest) => {
                staged.add(index);
            }
            Some(_) => {}
            None => unknown.push(index),
        }
    }
    let mut checks = piece_checks::PieceChecks::new(manifest.count());
    let others = read_back::read_back(shared, staged, unknown.clone(), &mut checks).await?;
    for index in unknown.iter().filter(|index| !others.contains(index)) {
        staged.add(*index);
    }
    slog::info!(shared.log, "staging area looked through"; "version" => manifest.version,
        "held" => staged.all().len(), "pieces" => manifest.digests.len(),
        "read" => unknown.len());
    if !listed.is_empty() {
        shared.staging_area.wait_until_writable().await;
    }
    Ok(())
}
