//! Calls to control.

use std::time;

use rand::seq::IndexedRandom as _;

use crate::cast;

/// Time for one call.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Redirections that are followed.
const REDIRECTIONS: usize = 2;

/// Calls any control member, and another one after a failure.
#[derive(Debug)]
pub(crate) struct ControlCalls {
    bases: Vec<String>,
}

impl ControlCalls {
    pub(crate) fn new(cast: cast::Cast) -> Self {
        let bases = cast.seeds().map(|seed| format!("http://{seed}"));
        Self {
            bases: bases.collect(),
        }
    }

    /// Posts a body to one member. Returns the answer if it is an acknowledgement.
    pub(crate) async fn post(&self, path: &str, body: String) -> Option<bytes::Bytes> {
        self.call(http::Method::POST, path, bytes::Bytes::from(body))
            .await
    }

    /// Reads from one member.
    pub(crate) async fn get(&self, path: &str) -> Option<bytes::Bytes> {
        self.call(http::Method::GET, path, bytes::Bytes::new())
            .await
    }

    async fn call(
        &self,
        method: http::Method,
        path: &str,
        body: bytes::Bytes,
    ) -> Option<bytes::Bytes> {
        let mut base = self.bases.choose(&mut rand::rng())?.clone();
        let mut path = String::from(path);
        for _ in 0..=REDIRECTIONS {
            let client = lift_border::HttpClient::without_pool(&base);
            let req = client.request(method.clone(), &path);
            let req = req.header(http::header::CONTENT_TYPE, "application/json");
            let sending = client.send(req, body.clone());
            let reply = tokio::time::timeout(CALL_TIMEOUT, sending)
                .await
                .ok()?
                .ok()?;
            if reply.status().is_success() {
                return Some(reply.into_body());
            }
            if reply.status() != http::StatusCode::TEMPORARY_REDIRECT {
                return None;
            }
            let location = reply.headers().get(http::header::LOCATION)?.to_str().ok()?;
            let uri: http::Uri = location.parse().ok()?;
            base = format!("http://{}", uri.authority()?);
            path = String::from(uri.path());
        }
        None
    }
}
