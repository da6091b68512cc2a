//! Backend servers over HTTP.

use std::{net, time};

use error_stack::ResultExt as _;
use futures_util::{StreamExt as _, stream};
use http_body_util::BodyExt as _;
use hyper_util::{client::legacy, rt};

use crate::{
    answer, answer_head, backend, backend_call, backend_error, echo_check, http_client,
    server_probe,
};

/// Header that carries the identifier of a request and is echoed in the answer.
pub const REQUEST_ID_HEADER: &str = "x-lift-request-id";

/// Header that names the version that must answer, or that answered.
pub const VERSION_HEADER: &str = "x-lift-version";

/// Header that carries the priority of a request.
pub const PRIORITY_HEADER: &str = "x-lift-priority";

/// Header that carries the milliseconds until the answer is worthless.
pub const TIME_LEFT_HEADER: &str = "x-lift-time-left-ms";

/// Header that carries the number of body bytes that the caller already has.
pub const RESUME_HEADER: &str = "x-lift-resume-from";

/// Longest time to open a connection. The backend server is on the same host.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Idle connections that are kept to a backend server that need not echo identifiers. On a
/// connection that was used before, its answer can't be told from the copy of an earlier one.
const IDLE_WITHOUT_ECHO: usize = 0;

/// Headers that concern one connection or are set anew on each hop.
const HOP_HEADERS: [&str; 11] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-connection",
    REQUEST_ID_HEADER,
    VERSION_HEADER,
];

type Body = http_body_util::Full<bytes::Bytes>;
type Failure = error_stack::Report<backend_error::BackendError>;

/// A backend server that speaks HTTP/1.1 on a fixed address.
#[derive(Clone, Debug)]
pub struct HttpBackend {
    addr: net::SocketAddr,
    echo: echo_check::EchoCheck,
    client: legacy::Client<legacy::connect::HttpConnector, Body>,
}

impl HttpBackend {
    /// Prepares calls to the backend server at `addr`. Nothing is sent yet.
    pub fn new(addr: net::SocketAddr, echo: echo_check::EchoCheck) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // The client sends a request again only where the pooled connection had closed before
        // it wrote the first byte, so a request that may have run is never sent twice.
        let mut client = legacy::Client::builder(rt::TokioExecutor::new());
        client.retry_canceled_requests(true);
        client.http1_max_buf_size(http_client::MAX_HEAD_BYTES);
        if echo == echo_check::EchoCheck::WhenPresent {
            client.pool_max_idle_per_host(IDLE_WITHOUT_ECHO);
        }
        let client = client.build(connector);
        Self { addr, echo, client }
    }

    fn request(&self, call: &backend_call::BackendCall) -> Result<http::Request<Body>, Failure> {
        let uri = format!("http://{}{}", self.addr, call.path);
        let mut builder = http::Request::builder()
            .method(call.method.as_str())
            .uri(uri);
        for (name, value) in &call.headers {
            if is_end_to_end(name) {
                builder = builder.header(name, value);
            }
        }
        builder = builder
            .header(REQUEST_ID_HEADER, &call.id)
            .header(PRIORITY_HEADER, call.priority.to_string())
            .header(TIME_LEFT_HEADER, call.time_left.as_millis().to_string());
        if let Some(version) = &call.version {
            builder = builder.header(VERSION_HEADER, version);
        }
        if call.resume_from > 0 {
            builder = builder.header(RESUME_HEADER, call.resume_from);
        }
        builder
            .body(Body::new(call.body.clone()))
            .change_context(backend_error::BackendError::NotSent)
    }

    /// What a request without the head of an answer has met.
    async fn failure_of(&self, error: &legacy::Error) -> backend_error::BackendError {
        if error.is_connect() {
            return backend_error::BackendError::NotSent;
        }
        if server_probe::has_ended(self.addr).await {
            return backend_error::BackendError::Ended;
        }
        backend_error::BackendError::Broken
    }

    fn check(
        &self,
        call: &backend_call::BackendCall,
        headers: &http::HeaderMap,
    ) -> Result<(), backend_error::BackendError> {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let id = text(REQUEST_ID_HEADER);
        let must_echo = self.echo == echo_check::EchoCheck::Required;
        if id.is_some_and(|found| found != call.id) || (must_echo && id.is_none()) {
            let found = String::from(id.unwrap_or("none"));
            return Err(backend_error::BackendError::Crossed { found });
        }
        let Some(wanted) = &call.version else {
            return Ok(());
        };
        if text(VERSION_HEADER) != Some(wanted.as_str()) {
            let found = String::from(text(VERSION_HEADER).unwrap_or("none"));
            return Err(backend_error::BackendError::WrongVersion { found });
        }
        Ok(())
    }
}

#[async_trait::async_trait]
impl backend::Backend for HttpBackend {
    async fn submit(&self, call: backend_call::BackendCall) -> Result<answer::Answer, Failure> {
        let ends_at = tokio::time::Instant::now() + call.time_left;
        let req = self.request(&call)?;
        let sent = tokio::time::timeout_at(ends_at, self.client.request(req)).await;
        let found = sent.change_context(backend_error::BackendError::Timeout)?;
        let response = match found {
            Ok(response) => response,
            Err(e) => {
                let context = self.failure_of(&e).await;
                return Err(error_stack::Report::new(e).change_context(context));
            }
        };
        let (parts, body) = response.into_parts();
        self.check(&call, &parts.headers)?;
        Ok(answer::Answer {
            head: head_of(&parts),
            body: body_of(body, ends_at, self.addr),
        })
    }
}

fn is_end_to_end(name: &str) -> bool {
    !HOP_HEADERS.iter().any(|hop| hop.eq_ignore_ascii_case(name))
}

fn head_of(parts: &http::response::Parts) -> answer_head::AnswerHead {
    let headers = parts.headers.iter().filter_map(|(name, value)| {
        let text = value.to_str().ok()?;
        is_end_to_end(name.as_str()).then(|| (name.to_string(), String::from(text)))
    });
    let text = |name| {
        parts
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    answer_head::AnswerHead {
        status: parts.status.as_u16(),
        headers: headers.collect(),
        version: text(VERSION_HEADER).map(String::from),
        length: text(http::header::CONTENT_LENGTH.as_str()).and_then(|text| text.parse().ok()),
    }
}

fn body_of(
    body: hyper::body::Incoming,
    ends_at: tokio::time::Instant,
    addr: net::SocketAddr,
) -> answer::BodyStream {
    let parts = stream::unfold(Some(body.into_data_stream()), move |body| async move {
        let mut body = body?;
        match tokio::time::timeout_at(ends_at, body.next()).await {
            Ok(Some(Ok(bytes))) => Some((Ok(bytes), Some(body))),
            Ok(Some(Err(_))) => Some((Err(cut_of(addr).await), None)),
            Ok(None) => None,
            Err(_) => Some((Err(backend_error::BackendError::Timeout), None)),
        }
    });
    parts.boxed()
}

/// What an answer has met that broke off.
async fn cut_of(addr: net::SocketAddr) -> backend_error::BackendError {
    if server_probe::has_ended(addr).await {
        return backend_error::BackendError::Ended;
    }
    backend_error::BackendError::Truncated
}
