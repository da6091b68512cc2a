//! A backend server of a retry storm.

use std::{sync, time};

use sync::atomic;

use axum::{extract, response::IntoResponse as _};

use crate::{
    answer_text, cast, control_calls, process_settings, retry_book, server_fault, soak_error,
    soak_server,
};

/// Requests that one server runs at once.
const SLOTS: u32 = 64;

/// Time after which a server that does not answer gives up.
const SILENCE: time::Duration = time::Duration::from_secs(30);

/// A backend server that notes arrivals, and fails if it is told to.
#[derive(Debug)]
pub(crate) struct StormServer {
    text: lift_peer::ServerText,
    fault: Option<server_fault::ServerFault>,
    book: sync::Arc<retry_book::RetryBook>,
    /// Whether a server with a fault fails already.
    is_failing: atomic::AtomicBool,
}

impl StormServer {
    /// Starts a server on `host`. It answers with success if it has no `fault`, and
    /// until it is told to fail.
    pub(crate) async fn start(
        cast: cast::Cast,
        host: u8,
        fault: Option<server_fault::ServerFault>,
        book: sync::Arc<retry_book::RetryBook>,
    ) -> Result<sync::Arc<Self>, soak_error::SoakError> {
        let address = cast.service(host).own;
        let text = lift_peer::ServerText {
            id: format!("s{host}-0"),
            service: String::from(soak_server::PLAIN_SERVICE),
            address,
            failure_domain: String::from("d"),
            slots: SLOTS,
            born: soak_server::since_epoch(),
        };
        let server = sync::Arc::new(Self {
            text,
            fault,
            book,
            is_failing: atomic::AtomicBool::new(false),
        });
        let router = axum::Router::new()
            .fallback(|extract::State(server): Server, req| async move { server.call(req).await })
            .with_state(sync::Arc::clone(&server));
        soak_server::listen(address, router).await?;
        Ok(server)
    }

    /// Lets a server with a fault fail from now on.
    pub(crate) fn fail(&self) {
        self.is_failing.store(true, atomic::Ordering::Relaxed);
    }

    /// Announces the server for ever.
    pub(crate) async fn announce(
        self: sync::Arc<Self>,
        calls: sync::Arc<control_calls::ControlCalls>,
    ) {
        let interval = time::Duration::from_millis(process_settings::HEARTBEAT_MS);
        for sequence in 1.. {
            let body = self.text.heartbeat(sequence, false, None).to_string();
            calls.post(&self.text.heartbeat_path(), body).await;
            tokio::time::sleep(interval).await;
        }
    }

    async fn call(&self, req: extract::Request) -> axum::response::Response {
        let id = lift_peer::CallHead::read(req.headers())
            .id
            .unwrap_or_default();
        self.book.arrive(id.clone());
        let reply = http::Response::builder();
        let sealed = |reply| self.text.answer(&id, &answer_text::seal(&id), None, reply);
        let whole = axum::body::Body::from(answer_text::body(&id));
        let is_failing = self.is_failing.load(atomic::Ordering::Relaxed);
        let answer = match self.fault.filter(|_| is_failing) {
            None => sealed(reply).body(whole),
            Some(server_fault::ServerFault::Error) => {
                sealed(reply.status(http::StatusCode::INTERNAL_SERVER_ERROR)).body(whole)
            }
            Some(server_fault::ServerFault::Reset) => sealed(reply).body(broken_body()),
            Some(server_fault::ServerFault::Refuse) => {
                let reply = reply.status(http::StatusCode::SERVICE_UNAVAILABLE);
                self.text
                    .not_run(&id, reply)
                    .body(axum::body::Body::empty())
            }
            Some(server_fault::ServerFault::Silent) => {
                tokio::time::sleep(SILENCE).await;
                sealed(reply).body(whole)
            }
        };
        answer.unwrap_or_else(|_| http::StatusCode::INTERNAL_SERVER_ERROR.into_response())
    }
}

type Server = extract::State<sync::Arc<StormServer>>;

/// A body whose connection breaks after its first bytes.
fn broken_body() -> axum::body::Body {
    let parts = [
        Ok(bytes::Bytes::from_static(b"begun")),
        Err(std::io::Error::from(std::io::ErrorKind::ConnectionReset)),
    ];
    axum::body::Body::from_stream(futures_util::stream::iter(parts))
}
