//! Where an agent gets a manifest.

use std::time;

use error_stack::ResultExt as _;

use crate::{piece_connection, piece_manifest, piece_message, shared, stage_error};

/// Time for a manifest from the origin.
const ORIGIN_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Time for a manifest from another agent.
const AGENT_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Pause between two agents that are asked.
const PAUSE: time::Duration = time::Duration::from_millis(80);

/// Time after which an agent asks the origin, for each agent before it in the region. Where the
/// first ones are down, the next one soon takes their place.
const PATIENCE_STEP: time::Duration = time::Duration::from_millis(250);

/// Longest time after which an agent asks the origin.
const LONGEST_PATIENCE: time::Duration = time::Duration::from_millis(1_500);

type Result<T> = std::result::Result<T, error_stack::Report<stage_error::StageError>>;

/// Gets the manifest of a named version. The first agent of a region asks the origin and the
/// others ask the first ones of their region: the manifests of a large fleet would take the
/// origin's link for as long as the weights, and all its connections.
pub(crate) async fn find(
    shared: &shared::Shared,
    model: &str,
    version: lift_fleet::WeightsVersion,
    origin: &lift_fleet::OriginPlace,
) -> Result<piece_manifest::PieceManifest> {
    let region = &shared.card.place.region;
    let mut agents = shared.agents();
    agents.retain(|agent| agent.place.region == *region);
    agents.sort_by_key(|agent| agent.place.host);
    let own = shared.card.place.host;
    let before = agents.iter().take_while(|agent| agent.place.host != own);
    let before: Vec<_> = before.collect();
    let patience = (PATIENCE_STEP * before.len() as u32).min(LONGEST_PATIENCE);
    let started = lift_clock::now();
    for turn in 0.. {
        let waited = lift_clock::now().saturating_duration_since(started);
        if before.is_empty() || waited > patience || shared.named(model) > version {
            break;
        }
        // Mostly the first one, which has it first, and now and then another one.
        let agent = before[(turn / 2) % before.len() * (turn % 2)];
        if let Ok(manifest) = ask(shared, agent, model, version).await {
            return Ok(manifest);
        }
        tokio::time::sleep(PAUSE).await;
    }
    from_origin(shared, model, Some(version), origin).await
}

/// Gets the manifest of a version, or of the newest one, from the origin.
pub(crate) async fn from_origin(
    shared: &shared::Shared,
    model: &str,
    version: Option<lift_fleet::WeightsVersion>,
    origin: &lift_fleet::OriginPlace,
) -> Result<piece_manifest::PieceManifest> {
    let asking = shared.origin.manifest(origin.address, model, version);
    shared::within(ORIGIN_TIMEOUT, asking).await
}

async fn ask(
    shared: &shared::Shared,
    agent: &lift_transfer::SwarmPeer,
    model: &str,
    version: lift_fleet::WeightsVersion,
) -> Result<piece_manifest::PieceManifest> {
    let failed = stage_error::StageError::Agent;
    let ask = piece_message::PieceMessage::AskManifest {
        model: String::from(model),
        version,
    };
    let asking = async {
        let opening = piece_connection::open(&shared.keys, agent.chunk_addr, AGENT_TIMEOUT, &ask);
        let (mut reader, _writer) = opening.await?;
        reader.recv().await
    };
    let answer = piece_connection::within(AGENT_TIMEOUT, asking).await;
    match answer.change_context(failed.clone())? {
        piece_message::PieceMessage::Manifest(manifest)
            if manifest.model == model && manifest.version == version =>
        {
            Ok(manifest)
        }
        _ => Err(error_stack::Report::new(failed)),
    }
}
