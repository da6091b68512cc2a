//! The operator.

use std::{sync, time};

use strum::IntoEnumIterator as _;
use tokio::sync::mpsc;

use crate::{
    callers, cast, control_calls, operator_order, oracle, process_settings, request_kind,
    soak_caller, soak_server, soak_weights,
};

/// Pause before an order without an acknowledgement is sent again.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Time between two reads of the configuration.
const READ_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Sends each order until it is acknowledged.
#[derive(Debug)]
pub(crate) struct SoakOperator {
    cast: cast::Cast,
    calls: sync::Arc<control_calls::ControlCalls>,
    callers: sync::Arc<callers::Callers>,
    document: u64,
    guest: u64,
    weights: sync::Arc<sync::atomic::AtomicU64>,
}

impl SoakOperator {
    /// `weights` is told the newest version that was acknowledged.
    pub(crate) fn new(
        cast: cast::Cast,
        calls: sync::Arc<control_calls::ControlCalls>,
        callers: sync::Arc<callers::Callers>,
        weights: sync::Arc<sync::atomic::AtomicU64>,
    ) -> Self {
        Self {
            cast,
            calls,
            callers,
            document: 0,
            guest: 0,
            weights,
        }
    }

    /// Carries out orders until there are no more.
    pub(crate) async fn run(
        mut self,
        mut orders: mpsc::UnboundedReceiver<operator_order::OperatorOrder>,
    ) {
        while let Some(order) = orders.recv().await {
            match order {
                operator_order::OperatorOrder::Change => self.send_document(None).await,
                operator_order::OperatorOrder::Revoke => {
                    let old = guest_key(self.guest);
                    self.guest += 1;
                    self.send_document(Some(old)).await;
                }
                operator_order::OperatorOrder::NameWeights => self.name_weights().await,
                operator_order::OperatorOrder::Evacuate => {
                    self.insist(&evacuation_path(lift_peer::paths::EVACUATION_START), "")
                        .await;
                    self.callers.oracle.evacuate();
                }
                operator_order::OperatorOrder::Restore => {
                    // It may be in force before its acknowledgement arrives.
                    self.callers.oracle.restore();
                    self.insist(&evacuation_path(lift_peer::paths::EVACUATION_FINISH), "")
                        .await;
                }
            }
        }
    }

    async fn send_document(&mut self, revoked: Option<String>) {
        self.document += 1;
        let text = self.document_text();
        self.insist(lift_peer::paths::REPLACE, &text).await;
        let oracle = &self.callers.oracle;
        oracle.acknowledge(self.document, revoked.as_deref());
        let mut keys = vec![
            String::from(soak_caller::LASTING_KEY),
            guest_key(self.guest),
        ];
        // A key that was taken away is tried on, so that its refusal is seen.
        keys.extend(revoked);
        *self.callers.keys.lock() = keys;
    }

    async fn name_weights(&self) {
        let version = self.weights.load(sync::atomic::Ordering::Relaxed) + 1;
        let text = lift_peer::DocumentText::weights(soak_weights::MODEL, version);
        self.insist(lift_peer::paths::WEIGHTS, &text).await;
        self.weights.store(version, sync::atomic::Ordering::Relaxed);
    }

    async fn insist(&self, path: &str, text: &str) {
        while self.calls.post(path, String::from(text)).await.is_none() {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    fn document_text(&self) -> String {
        let timeout = time::Duration::from_secs(3);
        let mut document = lift_peer::DocumentText::new(self.document)
            .service(soak_server::PLAIN_SERVICE)
            .engines(
                process_settings::ENGINE_SERVICE,
                soak_weights::MODEL,
                soak_server::SLOTS,
                soak_weights::PIECES,
                soak_weights::PIECE_BYTES,
            )
            .origin("origin", self.cast.service(cast::Cast::origin()).own, "d")
            .workspace("house", &[String::from(soak_caller::LASTING_KEY)])
            .workspace("guests", &[guest_key(self.guest)]);
        let host = soak_caller::HOST;
        for kind in request_kind::RequestKind::iter() {
            let (prefix, service) = (kind.prefix(), kind.service());
            document = document.route(host, prefix, kind.route_kind(), service, timeout);
        }
        let extra = format!("/extra{}/", self.document);
        let kind = lift_fleet::RouteKind::Idempotent;
        document
            .route(
                soak_caller::HOST,
                &extra,
                kind,
                soak_server::PLAIN_SERVICE,
                timeout,
            )
            .text()
    }
}

fn evacuation_path(call: &str) -> String {
    let evacuation = lift_peer::paths::EVACUATION;
    format!("{evacuation}/{}/{call}", cast::EVACUATED_DOMAIN)
}

fn guest_key(number: u64) -> String {
    format!("guest-{number}")
}

/// Reads the configuration again and again at any member.
pub(crate) async fn read(
    calls: sync::Arc<control_calls::ControlCalls>,
    oracle: sync::Arc<oracle::Oracle>,
) {
    loop {
        let asked_at = time::Instant::now();
        let text = calls.get(lift_peer::paths::DOCUMENT).await;
        if let Some(version) = text.and_then(|t| lift_peer::DocumentText::version_of(&t)) {
            oracle.read(asked_at, version);
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}
