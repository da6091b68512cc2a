//! HTTP requests to the systems at the borders.

use std::{net, time};

use error_stack::ResultExt as _;
use http_body_util::BodyExt as _;
use hyper_util::{client::legacy, rt};

use crate::http_error;

/// Idle connections kept to one system. More than two are seldom in use at once.
const MAX_IDLE: usize = 2;

/// Time in which a connection must be open.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Largest body of an answer unless a client sets another limit, in bytes. Chunks of weights and
/// manifests are far smaller.
const DEFAULT_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Largest buffer for the head of an answer, in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Time in which an answer must be complete, also where its sender sends something now and then.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Client of one system, given by the start of its URLs.
#[derive(Clone, Debug)]
pub struct HttpClient {
    base: String,
    max_body_bytes: usize,
    client: legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<bytes::Bytes>>,
}

impl HttpClient {
    /// Makes a client whose connections start at `local_ip`, where one is given.
    pub fn new(base: &str, local_ip: Option<net::IpAddr>) -> Self {
        Self::with_idle(base, local_ip, MAX_IDLE)
    }

    /// Keeps no connection open between requests, for systems that accept few.
    pub fn without_pool(base: &str) -> Self {
        Self::with_idle(base, None, 0)
    }

    fn with_idle(base: &str, local_ip: Option<net::IpAddr>, max_idle: usize) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_local_address(local_ip);
        Self {
            base: String::from(base.trim_end_matches('/')),
            max_body_bytes: DEFAULT_BODY_BYTES,
            client: legacy::Client::builder(rt::TokioExecutor::new())
                .pool_max_idle_per_host(max_idle)
                .http1_max_buf_size(MAX_HEAD_BYTES)
                .build(connector),
        }
    }

    /// Returns a client that shares the connections of this one and reads bodies of answers of up
    /// to `bytes` only. A server in trouble may send without end, on as many connections as there
    /// are requests, so each kind of request needs a limit that fits its answers.
    pub fn with_max_body_bytes(&self, bytes: usize) -> Self {
        Self {
            max_body_bytes: bytes,
            ..self.clone()
        }
    }

    /// Starts a request for `path`, which begins with a slash.
    pub fn request(&self, method: http::Method, path: &str) -> http::request::Builder {
        http::Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`http_error::HttpError::NotConnected`] where nothing was sent, and
    /// [`http_error::HttpError::Broken`] where the connection or the answer broke, or where the
    /// answer is too long or takes too long.
    pub async fn send(
        &self,
        req: http::request::Builder,
        body: bytes::Bytes,
    ) -> Result<http::Response<bytes::Bytes>, error_stack::Report<http_error::HttpError>> {
        let req = req
            .body(http_body_util::Full::new(body))
            .change_context(http_error::HttpError::Broken)?;
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, self.answer(req)).await;
        answered.change_context(http_error::HttpError::Broken)?
    }

    async fn answer(
        &self,
        req: http::Request<http_body_util::Full<bytes::Bytes>>,
    ) -> Result<http::Response<bytes::Bytes>, error_stack::Report<http_error::HttpError>> {
        let reply = self.client.request(req).await.map_err(|e| {
            let kind = match e.is_connect() {
                true => http_error::HttpError::NotConnected,
                false => http_error::HttpError::Broken,
            };
            error_stack::Report::new(e).change_context(kind)
        })?;
        let (head, body) = reply.into_parts();
        let body = http_body_util::Limited::new(body, self.max_body_bytes);
        let body = body
            .collect()
            .await
            .map_err(|_| http_error::HttpError::Broken)?;
        Ok(http::Response::from_parts(head, body.to_bytes()))
    }

    /// Sends a request with a JSON body and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns what [`HttpClient::send`] returns.
    pub async fn send_json<T: serde::Serialize>(
        &self,
        req: http::request::Builder,
        message: &T,
    ) -> Result<http::Response<bytes::Bytes>, error_stack::Report<http_error::HttpError>> {
        let body = serde_json::to_vec(message).change_context(http_error::HttpError::Broken)?;
        let req = req.header(http::header::CONTENT_TYPE, "application/json");
        self.send(req, bytes::Bytes::from(body)).await
    }
}

/// Writes `name` as one segment of a path.
pub fn segment(name: &str) -> String {
    let mut out = String::with_capacity(name.len());
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            out.push(char::from(byte));
        } else {
            out.push_str(&format!("%{byte:02X}"));
        }
    }
    out
}
