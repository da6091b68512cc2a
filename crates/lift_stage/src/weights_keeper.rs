//! Keeps the backend server on the newest weights.

use std::{sync, time};

use crate::{
    fetch, load_permit, manifest_source, order_answer, piece_checks, read_back, shared,
    stage_error, staged, survey,
};

/// Pause between two looks while nothing is to be done.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Pause between two looks at the origin while an older version waits to be loaded before a newer
/// one.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// Pause after a step that failed.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Time for which an order may be carried out before it is given again. Requests that run are
/// completed first, and then the weights are loaded.
const LOAD_TIMEOUT: time::Duration = time::Duration::from_secs(6);

/// Times that pieces are read back for one order before the attempt is given up.
const MAX_READ_BACKS: usize = 2;

/// Age from which a report of the backend server is not acted on.
const REPORT_MAX_AGE: time::Duration = time::Duration::from_millis(300);

type Result<T> = std::result::Result<T, error_stack::Report<stage_error::StageError>>;

/// Brings the newest named version to the backend server, again and again.
pub(crate) async fn run(shared: sync::Arc<shared::Shared>) {
    loop {
        match keep(&shared).await {
            Ok(()) => tokio::time::sleep(LOOK_INTERVAL).await,
            // The newer version is fetched at once.
            Err(e) if *e.current_context() == stage_error::StageError::Superseded => {}
            Err(e) => {
                shared.counters.increment("agent.weights_failed");
                slog::warn!(shared.log, "weights not in place"; "error" => %e);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Makes one step if the backend server does not hold the newest version.
async fn keep(shared: &sync::Arc<shared::Shared>) -> Result<()> {
    let Some(model) = shared.model() else {
        return Ok(());
    };
    let named = shared.named(&model);
    let Some(held) = held(shared, &model) else {
        return Ok(());
    };
    let Some(origin) = shared.origin_endpoint() else {
        return Ok(());
    };
    if held > 0 && held >= named {
        share(shared, &model, held, &origin).await?;
        return survey::survey(shared, &model, held).await;
    }
    let target = shared.older_to_finish(&model, held).unwrap_or(named);
    let staged = prepare(shared, &model, target, &origin).await?;
    fetch::Fetch::run(shared, sync::Arc::clone(&staged), &origin).await?;
    if held > 0 {
        wait_for_turn(shared, &staged, held).await;
    }
    let checking = async {
        let permit = shared.staging_area.lock_for_load().await;
        check(shared, &staged).await.map(|checks| (permit, checks))
    };
    let (permit, checks) = tokio::select! {
        checked = checking => checked?,
        () = superseded(shared, &staged) => {
            return Err(error_stack::Report::new(
                stage_error::StageError::Superseded,
            ));
        }
    };
    load(shared, &staged, permit, checks).await
}

/// Looks through the staging area for the version that the backend server holds, if another
/// agent asks for it. Replicas that were there before their agents have it staged.
async fn share(
    shared: &sync::Arc<shared::Shared>,
    model: &str,
    held: lift_fleet::WeightsVersion,
    origin: &lift_fleet::OriginEndpoint,
) -> Result<()> {
    let asked = shared.asked.borrow().clone();
    if asked.is_some_and(|(name, version)| name == model && version == held) {
        // The manifest may take as long as the origin is away, and the server may restart
        // meanwhile.
        let mut report = shared.report.subscribe();
        let is_other = report.wait_for(|report| {
            let report = report.as_ref();
            report.is_some_and(|(report, _)| report.version(model) != held)
        });
        tokio::select! {
            prepared = prepare(shared, model, held, origin) => {
                prepared?;
                shared.asked.send_replace(None);
            }
            _ = is_other => {}
        }
    }
    Ok(())
}

/// Version that the backend server holds, or `None` where it is not known or an order is
/// being carried out.
fn held(shared: &shared::Shared, model: &str) -> Option<lift_fleet::WeightsVersion> {
    let report = shared.report.borrow();
    let (report, at) = report.as_ref()?;
    let age = lift_clock::now().saturating_duration_since(*at);
    (age < REPORT_MAX_AGE && !report.is_busy).then(|| report.version(model))
}

/// Finds out what is to be staged and what of it is there already.
async fn prepare(
    shared: &sync::Arc<shared::Shared>,
    model: &str,
    named: lift_fleet::WeightsVersion,
    origin: &lift_fleet::OriginEndpoint,
) -> Result<sync::Arc<staged::Staged>> {
    let current = shared.staged.borrow().clone();
    let current = current.filter(|s| named > 0 && s.is(model, named));
    if let Some(staged) = current {
        return initialize_once(shared, staged).await;
    }
    let manifest = match named {
        0 => manifest_source::from_origin(shared, model, None, origin).await?,
        named => manifest_source::find(shared, model, named, origin).await?,
    };
    slog::info!(shared.log, "weights wanted"; "model" => model, "version" => manifest.version,
        "pieces" => manifest.digests.len());
    let staged = staged::Staged::new(manifest);
    // Other agents ask this one for the manifest from now on, and for the pieces that it has.
    shared.staged.send_replace(Some(sync::Arc::clone(&staged)));
    initialize_once(shared, staged).await
}

/// Looks through the staging area unless that has been done for the version.
async fn initialize_once(
    shared: &sync::Arc<shared::Shared>,
    staged: sync::Arc<staged::Staged>,
) -> Result<sync::Arc<staged::Staged>> {
    if !staged.is_initialized() {
        survey::look_through(shared, &staged).await?;
        staged.set_initialized();
    }
    Ok(staged)
}

/// Waits until it is this agent's turn, or this version is dropped for a newer one.
async fn wait_for_turn(
    shared: &shared::Shared,
    staged: &staged::Staged,
    held: lift_fleet::WeightsVersion,
) {
    let delay = shared.load_turn(&staged.manifest.model, held).delay();
    let started = lift_clock::now();
    while shared.is_newest(staged) {
        let waited = lift_clock::now().saturating_duration_since(started);
        let Some(left) = delay.checked_sub(waited).filter(|left| !left.is_zero()) else {
            return;
        };
        tokio::time::sleep(left.min(LOOK_INTERVAL)).await;
    }
    // A newer version is named, which an older one may delay by one turn only.
    let turn = shared.start_load_delay(staged);
    let _ = tokio::time::timeout(turn, superseded(shared, staged)).await;
}

/// Waits until a newer version is named for which this one is dropped.
async fn superseded(shared: &shared::Shared, staged: &staged::Staged) {
    while !shared.is_superseded(staged) {
        match shared
            .origin_endpoint()
            .filter(|_| !shared.is_newest(staged))
        {
            Some(origin) => {
                let monitor = &shared.origin_monitor;
                monitor.check(shared, origin.address).await;
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
            None => tokio::time::sleep(LOOK_INTERVAL).await,
        }
    }
}

/// Reads all pieces back, while no write is on its way. The backend server loads what lies there
/// unchecked, and it may have been spoilt since. Pieces whose read is too long ago by the end are
/// read again.
async fn check(
    shared: &sync::Arc<shared::Shared>,
    staged: &sync::Arc<staged::Staged>,
) -> Result<piece_checks::PieceChecks> {
    let mut checks = piece_checks::PieceChecks::new(staged.manifest.count());
    for _ in 0..MAX_READ_BACKS {
        let due = checks.due(lift_clock::now());
        if due.is_empty() {
            break;
        }
        let spoilt = read_back::read_back(shared, staged, due, &mut checks).await?;
        if !spoilt.is_empty() || !staged.is_whole() {
            for index in &spoilt {
                staged.remove(*index);
                shared.inventory.forget(&staged.manifest.model, *index);
            }
            shared.counters.increment("agent.stage_spoilt");
            let error = stage_error::StageError::Spoilt(spoilt.len());
            return Err(error_stack::Report::new(error));
        }
    }
    Ok(checks)
}

/// Orders the backend server to load and waits until it holds the version.
async fn load(
    shared: &shared::Shared,
    staged: &staged::Staged,
    permit: load_permit::LoadPermit,
    checks: piece_checks::PieceChecks,
) -> Result<()> {
    let (model, version) = (&staged.manifest.model, staged.manifest.version);
    if shared.is_superseded(staged) {
        return Err(error_stack::Report::new(
            stage_error::StageError::Superseded,
        ));
    }
    let area = &shared.staging_area;
    let answer = area.load(permit, model, version, checks).await?;
    slog::info!(shared.log, "load ordered"; "model" => model, "version" => version,
        "answer" => ?answer, "named_for_ms" => shared.named_for_ms(&staged.manifest));
    shared.counters.increment("agent.loads_ordered");
    match answer {
        order_answer::OrderAnswer::Begun => shared.record_older_load(staged),
        order_answer::OrderAnswer::InEffect => {
            shared.record_older_load(staged);
            return Ok(());
        }
        refused => {
            return Err(error_stack::Report::new(stage_error::StageError::Refused(
                refused,
            )));
        }
    }
    let mut report = shared.report.subscribe();
    let holds = report.wait_for(|report| {
        let version_held = report.as_ref().map(|(r, _)| r.version(model));
        version_held.is_none_or(|held| held >= version)
    });
    match tokio::time::timeout(LOAD_TIMEOUT, holds).await {
        Ok(Ok(report)) if report.is_some() => {
            let named_for_ms = shared.named_for_ms(&staged.manifest);
            slog::info!(shared.log, "weights in place"; "model" => model, "version" => version,
                "named_for_ms" => named_for_ms);
            Ok(())
        }
        Ok(_) => Err(error_stack::Report::new(stage_error::StageError::Backend)),
        Err(_) => Err(error_stack::Report::new(stage_error::StageError::Timeout)),
    }
}
