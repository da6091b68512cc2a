//! Orders to an engine over HTTP.

use error_stack::ResultExt as _;

use crate::{engine, engine_error, engine_status, http_client, load_order};

/// Sends orders as JSON: `POST BASE/weights/load`, `POST BASE/weights/unload` and
/// `GET BASE/weights`. The engine answers with its [`engine_status::EngineStatus`]. Status
/// 409 tells that the engine has seen a higher fencing token, any other status that it
/// refuses; the body says why.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    client: http_client::HttpClient,
}

/// Body of status 409.
#[derive(serde::Deserialize)]
struct Stale {
    highest: lift_types::FencingToken,
}

/// Body of an unload order.
#[derive(serde::Serialize)]
struct Unload {
    fencing: lift_types::FencingToken,
}

type Result<T> = std::result::Result<T, error_stack::Report<engine_error::EngineError>>;

impl HttpEngine {
    /// Sends orders to the engine at `base`, for example `http://127.0.0.1:8000`.
    pub fn new(base: &str) -> Self {
        let client = http_client::HttpClient::new(base, None);
        Self { client }
    }

    async fn order<T: serde::Serialize>(
        &self,
        path: &str,
        order: &T,
    ) -> Result<engine_status::EngineStatus> {
        let req = self.client.request(http::Method::POST, path);
        let reply = self
            .client
            .send_json(req, order)
            .await
            .change_context(engine_error::EngineError::Unreachable)?;
        status_of(&reply)
    }
}

fn status_of(reply: &http::Response<bytes::Bytes>) -> Result<engine_status::EngineStatus> {
    if reply.status().is_success() {
        return serde_json::from_slice(reply.body())
            .change_context(engine_error::EngineError::Unreachable);
    }
    if reply.status() == http::StatusCode::CONFLICT
        && let Ok(stale) = serde_json::from_slice::<Stale>(reply.body())
    {
        return Err(error_stack::Report::new(engine_error::EngineError::Stale {
            highest: stale.highest,
        }));
    }
    let reason = String::from_utf8_lossy(reply.body()).into_owned();
    Err(error_stack::Report::new(
        engine_error::EngineError::Refused { reason },
    ))
}

#[async_trait::async_trait]
impl engine::Engine for HttpEngine {
    async fn load(&self, order: load_order::LoadOrder) -> Result<engine_status::EngineStatus> {
        self.order("/weights/load", &order).await
    }

    async fn unload(
        &self,
        fencing: lift_types::FencingToken,
    ) -> Result<engine_status::EngineStatus> {
        self.order("/weights/unload", &Unload { fencing }).await
    }

    async fn status(&self) -> Result<engine_status::EngineStatus> {
        let req = self.client.request(http::Method::GET, "/weights");
        let reply = self
            .client
            .send(req, bytes::Bytes::new())
            .await
            .change_context(engine_error::EngineError::Unreachable)?;
        status_of(&reply)
    }
}
