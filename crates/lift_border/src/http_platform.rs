//! The platform over HTTP.

use std::{net, time};

use error_stack::ResultExt as _;
use hyper_util::{client::legacy, rt};

use crate::{platform, platform_error, readiness};

/// Longest time for one notice.
const TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// A platform that takes `PUT /readiness` with `ready` or `not_ready` as its body.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    addr: net::SocketAddr,
    client: legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<bytes::Bytes>>,
}

impl HttpPlatform {
    /// Prepares notices to the platform at `addr`. Nothing is sent yet.
    pub fn new(addr: net::SocketAddr) -> Self {
        let client = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
        Self { addr, client }
    }
}

#[async_trait::async_trait]
impl platform::Platform for HttpPlatform {
    async fn set_readiness(
        &self,
        readiness: readiness::Readiness,
    ) -> Result<(), error_stack::Report<platform_error::PlatformError>> {
        let body = http_body_util::Full::from(readiness.to_string());
        let req = http::Request::put(format!("http://{}/readiness", self.addr))
            .body(body)
            .change_context(platform_error::PlatformError)?;
        let response = tokio::time::timeout(TIMEOUT, self.client.request(req))
            .await
            .change_context(platform_error::PlatformError)?
            .change_context(platform_error::PlatformError)?;
        if response.status().is_success() {
            return Ok(());
        }
        Err(error_stack::Report::new(platform_error::PlatformError))
    }
}
