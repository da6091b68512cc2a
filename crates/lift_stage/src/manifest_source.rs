//! Where an agent gets a manifest.

use std::time;

use error_stack::ResultExt as _;
use rand::RngExt as _;

use crate::{piece_connection, piece_manifest, piece_message, shared, stage_error};

/// Time for a manifest from the origin.
const ORIGIN_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Time for a manifest from another agent.
const AGENT_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// First and longest pause between two agents that are asked. The first agent of a region has the
/// manifest soon after the naming.
const PAUSES: (time::Duration, time::Duration) = (
    time::Duration::from_millis(20),
    time::Duration::from_millis(80),
);

/// Time after which an agent asks the origin, for each agent before it in the region. Where the
/// first ones are down, the next one soon takes their place.
const PATIENCE_STEP: time::Duration = time::Duration::from_millis(250);

/// Longest time after which an agent asks the origin.
const LONGEST_PATIENCE: time::Duration = time::Duration::from_millis(1_500);

/// Pause before the origin is asked again if it can be reached.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);

type Result<T> = std::result::Result<T, error_stack::Report<stage_error::StageError>>;

/// Gets the manifest of a named version. The first agent of a region asks the origin and the
/// others ask the first ones of their region: the manifests of a large fleet would take the
/// origin's link for as long as the weights, and all its connections. Meanwhile each agent asks
/// the others, so that one that has the manifest is enough while the origin is down.
pub(crate) async fn find(
    shared: &shared::Shared,
    model: &str,
    version: lift_fleet::WeightsVersion,
    origin: &lift_fleet::OriginEndpoint,
) -> Result<piece_manifest::PieceManifest> {
    let region = &shared.card.location.region;
    let own = shared.card.location.host;
    let mut agents = shared.agents();
    agents.retain(|agent| agent.location.region == *region && agent.location.host != own);
    agents.sort_by_key(|agent| agent.location.host);
    let before = agents
        .iter()
        .filter(|agent| agent.location.host < own)
        .count();
    let patience = (PATIENCE_STEP * before as u32).min(LONGEST_PATIENCE);
    let mut named = shared.named.subscribe();
    let asked = async {
        let is_newer = named.wait_for(|named| named.newest(model) > version);
        let _ = tokio::time::timeout(patience, is_newer).await;
        loop {
            if shared.named(model) > version {
                let superseded = stage_error::StageError::Superseded;
                return Err(error_stack::Report::new(superseded));
            }
            let answer = from_origin(shared, model, Some(version), origin).await;
            let Err(e) = &answer else { return answer };
            match e.current_context() {
                stage_error::StageError::Dropped => return answer,
                _ => wait_for_origin(shared, model, version, origin, patience).await,
            }
        }
    };
    tokio::select! {
        manifest = from_agents(shared, &agents, model, version) => Ok(manifest),
        answer = asked => answer,
        () = replaced(shared, origin) => {
            Err(error_stack::Report::new(stage_error::StageError::OriginReplaced))
        }
    }
}

/// Waits until the configuration names another origin than `origin`.
async fn replaced(shared: &shared::Shared, origin: &lift_fleet::OriginEndpoint) {
    let mut table = shared.table.subscribe();
    let is_same = |o: lift_fleet::OriginEndpoint| o.address == origin.address;
    while shared.origin_endpoint().is_some_and(is_same) {
        if table.changed().await.is_err() {
            return;
        }
    }
}

/// Waits until the origin accepts connections again and it is this agent's turn to ask it, or until
/// a newer version is named.
async fn wait_for_origin(
    shared: &shared::Shared,
    model: &str,
    version: lift_fleet::WeightsVersion,
    origin: &lift_fleet::OriginEndpoint,
    patience: time::Duration,
) {
    let monitor = &shared.origin_monitor;
    monitor.record_failure(shared.link_patience());
    let mut named = shared.named.subscribe();
    let waiting = async {
        let away_for = monitor.wait_until_back(shared, origin.address).await;
        let pause = match away_for >= lift_transfer::MIN_ORIGIN_ABSENCE {
            true => patience.max(RETRY_PAUSE),
            false => RETRY_PAUSE,
        };
        tokio::time::sleep(pause).await;
    };
    tokio::select! {
        () = waiting => {}
        _ = named.wait_for(|named| named.newest(model) > version) => {}
    }
}

/// Asks agents one after the other until one has the manifest: mostly the first one, which has
/// it first, and now and then another one.
async fn from_agents(
    shared: &shared::Shared,
    agents: &[lift_transfer::SwarmPeer],
    model: &str,
    version: lift_fleet::WeightsVersion,
) -> piece_manifest::PieceManifest {
    let start = rand::rng().random_range(0..agents.len().max(1));
    let mut turn = 0;
    let mut pause = PAUSES.0;
    loop {
        let position = match turn % 2 {
            0 => 0,
            _ => (start + turn / 2) % agents.len().max(1),
        };
        if let Some(agent) = agents.get(position)
            && let Ok(manifest) = ask(shared, agent, model, version).await
        {
            return manifest;
        }
        tokio::time::sleep(pause).await;
        pause = PAUSES.1.min(pause * 2);
        turn += 1;
    }
}

/// Gets the manifest of a version, or of the newest one, from the origin.
pub(crate) async fn from_origin(
    shared: &shared::Shared,
    model: &str,
    version: Option<lift_fleet::WeightsVersion>,
    origin: &lift_fleet::OriginEndpoint,
) -> Result<piece_manifest::PieceManifest> {
    let asking = shared.origin.manifest(origin.address, model, version);
    let manifest = shared::within(ORIGIN_TIMEOUT, asking).await?;
    shared.origin_monitor.record_answer();
    match manifest.is_of(model, version) {
        true => Ok(manifest),
        false => Err(error_stack::Report::new(stage_error::StageError::Origin)),
    }
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
        piece_message::PieceMessage::Manifest(manifest) if manifest.is_of(model, Some(version)) => {
            Ok(manifest)
        }
        _ => Err(error_stack::Report::new(failed)),
    }
}
