//! The origin of weights over HTTP.

use std::{net, ops};

use error_stack::ResultExt as _;

use crate::{http_client, origin, origin_error};

/// Reads manifests from `BASE/versions/VERSION/manifest` as JSON, and bytes from
/// `BASE/versions/VERSION/weights` with a `Range` header.
#[derive(Clone, Debug)]
pub struct HttpOrigin {
    client: http_client::HttpClient,
}

impl HttpOrigin {
    /// Reads from the origin at `base`, for example `http://192.0.2.1:80`.
    pub fn new(base: &str) -> Self {
        let client = http_client::HttpClient::new(base, None);
        Self { client }
    }

    /// Reads from the origin at `base` over connections that start at `local_ip`, for hosts
    /// with several addresses.
    pub fn from_ip(base: &str, local_ip: net::IpAddr) -> Self {
        let client = http_client::HttpClient::new(base, Some(local_ip));
        Self { client }
    }
}

#[async_trait::async_trait]
impl origin::Origin for HttpOrigin {
    async fn manifest(
        &self,
        version: &lift_types::VersionId,
    ) -> Result<lift_types::Manifest, error_stack::Report<origin_error::OriginError>> {
        let path = format!("/versions/{}/manifest", http_client::segment(version));
        let req = self.client.request(http::Method::GET, &path);
        let reply = self
            .client
            .send(req, bytes::Bytes::new())
            .await
            .change_context(origin_error::OriginError::Unreachable)?;
        let body = origin_error::OriginError::check(version, reply)?;
        serde_json::from_slice(&body).change_context(origin_error::OriginError::Unreachable)
    }

    async fn read(
        &self,
        version: &lift_types::VersionId,
        range: ops::Range<u64>,
    ) -> Result<bytes::Bytes, error_stack::Report<origin_error::OriginError>> {
        if range.is_empty() {
            return Ok(bytes::Bytes::new());
        }
        let path = format!("/versions/{}/weights", http_client::segment(version));
        let bytes = format!("bytes={}-{}", range.start, range.end - 1);
        let req = self
            .client
            .request(http::Method::GET, &path)
            .header(http::header::RANGE, bytes);
        let reply = self
            .client
            .send(req, bytes::Bytes::new())
            .await
            .change_context(origin_error::OriginError::Unreachable)?;
        let body = origin_error::OriginError::check(version, reply)?;
        if body.len() as u64 != range.end - range.start {
            return Err(error_stack::Report::new(
                origin_error::OriginError::Unreachable,
            ));
        }
        Ok(body)
    }
}
