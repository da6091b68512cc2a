//! Keys that are taken away while processes start anew.

use std::{net, sync, time};

use crate::{
    cast, process_settings, request_kind, retry_book, soak_caller, soak_error, soak_server,
    storm_fleet, storm_options, storm_restart, storm_run,
};

/// Time after an acknowledgement from which a key that was taken away must not be accepted.
const REVOKE_TIME: time::Duration = time::Duration::from_millis(process_settings::REVOKE_MS);

/// Time limit of one request.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Pause between two looks at the gateways.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Time in which the gateways must serve a key again that was given back.
const SERVE_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Documents in quick succession, so that control members write a snapshot of the last one.
const RAPID_UPDATES: u64 = 40;

/// A key that no document ever held.
const UNKNOWN_KEY: &str = "unknown";

type Result<T> = std::result::Result<T, soak_error::SoakError>;

/// Takes the only key away in several ways: by an empty list of tenants, by a tenant without keys,
/// by two changes in a row, by a change that races with one that keeps it, and while a gateway
/// stands still. After each, gateways, control members or all of them are killed, and one member
/// loses its disk. Returns a line for each request that was answered with success. Uses the
/// loopback network `network`, as [`crate::run`] does.
///
/// # Errors
///
/// Returns an error where the run could not be played.
pub async fn run_revoked_keys(
    options: &storm_options::StormOptions,
    network: u8,
) -> Result<Vec<String>> {
    let folder = tempfile::tempdir().map_err(|e| soak_error::SoakError::Io("folder", e))?;
    let cast = cast::Cast::new(network);
    let book = sync::Arc::new(retry_book::RetryBook::default());
    let mut fleet = storm_fleet::StormFleet::start(cast, options, folder.path(), &book).await?;
    storm_run::wait_until_ready(&fleet).await?;
    fleet.settle_settings()?;
    let mut run = RevokedKeys {
        version: 1,
        requests: 0,
        violations: Vec::new(),
    };
    run.expect_service(&fleet).await?;
    for number in 0..Way::ALL.len() {
        run.play(&mut fleet, number).await?;
        if !run.violations.is_empty() {
            break;
        }
    }
    Ok(run.violations)
}

/// How the key is taken away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    EmptyList,
    NoKeys,
    TwoChanges,
    Race,
    PausedGateway,
    Succession,
}

impl Way {
    const ALL: [Self; 6] = [
        Self::EmptyList,
        Self::NoKeys,
        Self::TwoChanges,
        Self::Race,
        Self::PausedGateway,
        Self::Succession,
    ];
}

struct RevokedKeys {
    version: u64,
    requests: u64,
    violations: Vec<String>,
}

impl RevokedKeys {
    /// Takes the key away in one way, restarts processes, and gives it back.
    async fn play(&mut self, fleet: &mut storm_fleet::StormFleet, number: usize) -> Result<()> {
        let way = Way::ALL[number];
        if way == Way::PausedGateway {
            fleet.restart(storm_restart::StormRestart::Pause, 0)?;
        }
        self.take_key_away(fleet, way).await;
        if way == Way::PausedGateway {
            tokio::time::sleep(REVOKE_TIME).await;
            // The one that stood still goes on as the other one pauses.
            fleet.restart(storm_restart::StormRestart::Pause, 1)?;
            self.expect_refusals(fleet, way).await;
            fleet.resume()?;
        } else {
            tokio::time::sleep(REVOKE_TIME).await;
        }
        self.expect_refusals(fleet, way).await;
        for restart in [
            storm_restart::StormRestart::Kill,
            storm_restart::StormRestart::KillControl,
            storm_restart::StormRestart::KillAll,
        ] {
            fleet.restart(restart, number)?;
            self.expect_refusals(fleet, way).await;
        }
        fleet.lose_disk((number % usize::from(cast::CONTROLS)) as u8)?;
        self.expect_refusals(fleet, way).await;
        if !self.violations.is_empty() {
            return Ok(());
        }
        let text = self.next(Some(&[soak_caller::LASTING_KEY]));
        fleet.put(&text).await;
        self.expect_service(fleet).await
    }

    async fn take_key_away(&mut self, fleet: &storm_fleet::StormFleet, way: Way) {
        match way {
            Way::EmptyList | Way::PausedGateway => fleet.put(&self.next(None)).await,
            Way::NoKeys => fleet.put(&self.next(Some(&[]))).await,
            Way::TwoChanges => {
                fleet.put(&self.next(Some(&[]))).await;
                fleet.put(&self.next(None)).await;
            }
            Way::Race => {
                let kept = self.next(Some(&[soak_caller::LASTING_KEY]));
                let empty = self.next(None);
                tokio::join!(fleet.put(&empty), fleet.put(&kept));
            }
            Way::Succession => {
                for _ in 0..RAPID_UPDATES {
                    fleet.put(&self.next(None)).await;
                }
            }
        }
    }

    /// The next document, with one tenant that has `keys`, or without any tenant.
    fn next(&mut self, keys: Option<&[&str]>) -> String {
        self.version += 1;
        let kind = request_kind::RequestKind::Read;
        let mut document = lift_peer::DocumentText::new(self.version)
            .service(soak_server::PLAIN_SERVICE)
            .route(
                soak_caller::HOST,
                kind.prefix(),
                kind.route_kind(),
                kind.service(),
                REQUEST_TIMEOUT,
            );
        if let Some(keys) = keys {
            let keys: Vec<String> = keys.iter().copied().map(String::from).collect();
            document = document.workspace("house", &keys);
        }
        document.text()
    }

    /// Sends requests with the key, an unknown one and none to each gateway, until all of them have
    /// confirmed the document and refuse for good. While one is paused, the others are asked once.
    async fn expect_refusals(&mut self, fleet: &mut storm_fleet::StormFleet, way: Way) {
        let until = time::Instant::now() + SERVE_LIMIT;
        loop {
            // A process that was killed is up again by now or a moment later.
            let _ = fleet.look();
            let mut have_all_refused = true;
            for gateway in fleet.gateways() {
                for key in [Some(soak_caller::LASTING_KEY), Some(UNKNOWN_KEY), None] {
                    let status = self.send(gateway, key).await;
                    if status.is_some_and(|s| s.is_success()) {
                        let key = key.unwrap_or("no key");
                        self.violations
                            .push(format!("{way:?}: {gateway} served {key}"));
                    }
                    have_all_refused &= status == Some(http::StatusCode::UNAUTHORIZED);
                }
            }
            let is_paused = fleet.has_paused();
            if have_all_refused || is_paused || !self.violations.is_empty() {
                return;
            }
            if time::Instant::now() > until {
                let problem = format!("{way:?}: not all gateways refuse");
                self.violations.push(problem);
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until all gateways serve the key.
    async fn expect_service(&mut self, fleet: &storm_fleet::StormFleet) -> Result<()> {
        let until = time::Instant::now() + SERVE_LIMIT;
        for gateway in fleet.gateways() {
            loop {
                let status = self.send(gateway, Some(soak_caller::LASTING_KEY)).await;
                if status.is_some_and(|s| s.is_success()) {
                    break;
                }
                if time::Instant::now() > until {
                    return Err(soak_error::SoakError::Start(SERVE_LIMIT.as_secs()));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn send(
        &mut self,
        gateway: net::SocketAddr,
        key: Option<&str>,
    ) -> Option<http::StatusCode> {
        self.requests += 1;
        let id = format!("revoked-{}", self.requests);
        let sending = send(gateway, key, &id);
        tokio::time::timeout(REQUEST_TIMEOUT, sending)
            .await
            .ok()
            .flatten()
    }
}

async fn send(gateway: net::SocketAddr, key: Option<&str>, id: &str) -> Option<http::StatusCode> {
    let mut sender = soak_caller::connect(gateway).await?;
    let head = lift_peer::CallerText {
        host: soak_caller::HOST,
        id,
        key: key.unwrap_or_default(),
        patience: REQUEST_TIMEOUT,
        model: None,
    };
    let prefix = request_kind::RequestKind::Read.prefix();
    let req = http::Request::post(format!("{prefix}{id}"));
    let mut req = head.write(req).body(soak_caller::Body::default()).ok()?;
    if key.is_none() {
        req.headers_mut().remove(http::header::AUTHORIZATION);
    }
    sender.ready().await.ok()?;
    let reply = sender.send_request(req).await.ok()?;
    Some(reply.status())
}
