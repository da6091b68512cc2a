//! A weight store over HTTP.

use std::net;

use error_stack::ResultExt as _;

use crate::{http_client, origin_error, weight_store};

/// Reads and writes chunks at `BASE/chunks/HASH`. Status 429 with the header
/// `retry-after-ms` tells that the store's rate limit is reached.
#[derive(Clone, Debug)]
pub struct HttpWeightStore {
    client: http_client::HttpClient,
}

impl HttpWeightStore {
    /// Uses the store at `base`, for example `http://192.0.2.1:80`.
    pub fn new(base: &str) -> Self {
        let client = http_client::HttpClient::new(base, None);
        Self { client }
    }

    /// Uses the store at `base` over connections that start at `local_ip`.
    pub fn from_ip(base: &str, local_ip: net::IpAddr) -> Self {
        let client = http_client::HttpClient::new(base, Some(local_ip));
        Self { client }
    }

    async fn send(
        &self,
        method: http::Method,
        chunk: &lift_types::ChunkHash,
        body: bytes::Bytes,
    ) -> Result<bytes::Bytes, error_stack::Report<origin_error::OriginError>> {
        let hex = chunk.to_hex();
        let req = self.client.request(method, &format!("/chunks/{hex}"));
        let reply = self
            .client
            .send(req, body)
            .await
            .change_context(origin_error::OriginError::Unreachable)?;
        origin_error::OriginError::check(&hex, reply)
    }
}

#[async_trait::async_trait]
impl weight_store::WeightStore for HttpWeightStore {
    async fn read(
        &self,
        chunk: &lift_types::ChunkHash,
    ) -> Result<bytes::Bytes, error_stack::Report<origin_error::OriginError>> {
        self.send(http::Method::GET, chunk, bytes::Bytes::new())
            .await
    }

    async fn write(
        &self,
        chunk: &lift_types::ChunkHash,
        bytes: bytes::Bytes,
    ) -> Result<(), error_stack::Report<origin_error::OriginError>> {
        self.send(http::Method::PUT, chunk, bytes).await.map(drop)
    }
}
