//! Client of the administration API.

use std::{path, time};

use http_body_util::BodyExt as _;
use hyper_util::rt;
use rustls::pki_types;
use tokio::{io, net};

use crate::{cli_error, reply, server, tls};

/// Longest time to connect, TLS handshake included.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Longest time for one request at all servers, its repeats included.
const REQUEST_LIMIT: time::Duration = time::Duration::from_secs(30);

/// Longest time to an answer. A server gives up on control before that.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Largest body of an answer, in bytes. The view of a fleet of thousands of hosts is far smaller.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// When a request that starts now is given up.
pub(crate) fn deadline() -> time::Instant {
    time::Instant::now() + REQUEST_LIMIT
}

/// Calls one server after the other until one answers.
pub(crate) struct Client {
    servers: Vec<server::Server>,
    token: Option<String>,
    tls: Option<tokio_rustls::TlsConnector>,
}

impl Client {
    /// Prepares a client. Nothing is sent yet.
    pub(crate) fn new(
        servers: Vec<server::Server>,
        token: Option<String>,
        ca: Option<&path::Path>,
    ) -> Result<Self, cli_error::CliError> {
        let tls = ca.map(tls::connector).transpose()?;
        let needs_tls = servers.iter().any(|s| s.scheme == server::Scheme::Https);
        if needs_tls && tls.is_none() {
            let text = "an https server needs --ca FILE";
            return Err(cli_error::CliError::Invalid(String::from(text)));
        }
        Ok(Self {
            servers,
            token,
            tls,
        })
    }

    /// Reads `path` from the first server that answers.
    pub(crate) async fn get<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<T, cli_error::CliError> {
        self.get_until(path, deadline()).await
    }

    /// Reads `path` as [`Self::get`] does, but gives up at `until`.
    pub(crate) async fn get_until<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        until: time::Instant,
    ) -> Result<T, cli_error::CliError> {
        let sent = self.call_until(http::Method::GET, path, bytes::Bytes::new(), until);
        sent.await?.check()?.decode()
    }

    /// Reads `path` from every server. Servers that can't be reached are named on standard
    /// error; at least one must answer.
    pub(crate) async fn get_from_each<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Vec<T>, cli_error::CliError> {
        let mut all = Vec::new();
        let mut failed = Vec::new();
        let until = deadline();
        for (i, server) in self.servers.iter().enumerate() {
            let limit = self.share(i, until);
            let sent = self.send(server, http::Method::GET, path, bytes::Bytes::new(), limit);
            match sent.await {
                Ok(reply) => all.push(reply.check()?.decode()?),
                Err(e) => failed.push(format!("{server}: {e}")),
            }
        }
        if all.is_empty() {
            return Err(cli_error::CliError::Unreachable(failed.join("; ")));
        }
        for problem in failed {
            eprintln!("liftctl: the view is partial: {problem}");
        }
        Ok(all)
    }

    /// Sends a request that changes something to one server after the other until one answers.
    /// The request may reach more than one server, so it must be safe to repeat.
    pub(crate) async fn call(
        &self,
        method: http::Method,
        path: &str,
        body: bytes::Bytes,
    ) -> Result<reply::Reply, cli_error::CliError> {
        self.call_until(method, path, body, deadline()).await
    }

    /// Sends a request as [`Self::call`] does, but gives up at `until`.
    pub(crate) async fn call_until(
        &self,
        method: http::Method,
        path: &str,
        body: bytes::Bytes,
        until: time::Instant,
    ) -> Result<reply::Reply, cli_error::CliError> {
        let mut failed = Vec::new();
        let mut unanswered = None;
        for (i, server) in self.servers.iter().enumerate() {
            let limit = self.share(i, until);
            match self
                .send(server, method.clone(), path, body.clone(), limit)
                .await
            {
                Ok(reply) if reply::is_unanswered(reply.status) => unanswered = Some(reply),
                Ok(reply) => return Ok(reply),
                Err(e) => failed.push(format!("{server}: {e}")),
            }
        }
        unanswered.ok_or_else(|| cli_error::CliError::Unreachable(failed.join("; ")))
    }

    /// Time for server `i`, so that those after it get as much: one that hangs must not use up
    /// the time of one that works.
    fn share(&self, i: usize, until: time::Instant) -> time::Duration {
        let left = until.saturating_duration_since(time::Instant::now());
        let servers_left = u32::try_from(self.servers.len() - i).unwrap_or(u32::MAX);
        left / servers_left
    }

    async fn send(
        &self,
        server: &server::Server,
        method: http::Method,
        path: &str,
        body: bytes::Bytes,
        limit: time::Duration,
    ) -> Result<reply::Reply, String> {
        let mut req = http::Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, &server.authority)
            .header(http::header::CONTENT_TYPE, "application/json");
        if let Some(token) = &self.token {
            req = req.header(http::header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let req = req
            .body(http_body_util::Full::new(body))
            .map_err(|e| e.to_string())?;
        let started = time::Instant::now();
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT.min(limit), self.connect(server));
        let connected = connecting.await;
        let stream = connected.map_err(|_| "no connection in time")??;
        let limit = ANSWER_TIMEOUT.min(limit.saturating_sub(started.elapsed()));
        let answered = tokio::time::timeout(limit, exchange(stream, req)).await;
        answered.map_err(|_| "no answer in time")?
    }

    async fn connect(&self, server: &server::Server) -> Result<Box<dyn Stream>, String> {
        let stream = net::TcpStream::connect(&server.authority)
            .await
            .map_err(|e| e.to_string())?;
        let tls = match (&self.tls, server.scheme) {
            (Some(tls), server::Scheme::Https) => tls,
            _ => return Ok(Box::new(stream)),
        };
        let name =
            pki_types::ServerName::try_from(server.host.clone()).map_err(|e| e.to_string())?;
        let stream = tls.connect(name, stream).await;
        Ok(Box::new(stream.map_err(|e| e.to_string())?))
    }
}

/// A byte stream with or without TLS.
trait Stream: io::AsyncRead + io::AsyncWrite + Send + Unpin {}

impl<S: io::AsyncRead + io::AsyncWrite + Send + Unpin> Stream for S {}

async fn exchange(
    stream: Box<dyn Stream>,
    req: http::Request<http_body_util::Full<bytes::Bytes>>,
) -> Result<reply::Reply, String> {
    let (mut sender, conn) = hyper::client::conn::http1::handshake(rt::TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    let conn = tokio::spawn(conn);
    let answer = sender.send_request(req).await.map_err(|e| e.to_string())?;
    let status = answer.status();
    let body = http_body_util::Limited::new(answer.into_body(), MAX_BODY_BYTES);
    let body = body.collect().await;
    conn.abort();
    let body = body.map_err(|e| format!("the answer can't be read: {e}"))?;
    Ok(reply::Reply {
        status,
        body: body.to_bytes(),
    })
}
