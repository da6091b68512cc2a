//! One attempt at a backend server, up to the head of the answer.

use std::{sync, time};

use crate::{answer_head, backend_connection, place, shared};

/// Time for which a connection may have been idle to carry a request that must not run twice.
/// The end of an older one may be on its way, and then nobody knows whether the request ran.
const FRESH_IDLE: time::Duration = time::Duration::from_millis(700);

/// Time for which a connection may have been idle to carry any other request.
const ANY_IDLE: time::Duration = time::Duration::from_secs(60);

type Request = http::Request<http_body_util::Full<bytes::Bytes>>;

/// An answer that has begun.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) parts: http::response::Parts,
    pub(crate) head: answer_head::AnswerHead,
    pub(crate) body: hyper::body::Incoming,
    pub(crate) place: place::Place,
    sender: backend_connection::Sender,
}

impl Exchange {
    /// Sends `req` and waits for the head of the answer until `until`.
    pub(crate) async fn begin(
        shared: &shared::Shared,
        place: place::Place,
        id: &str,
        req: Request,
        may_repeat: bool,
        until: time::Instant,
    ) -> Result<Self, lift_dispatch::AttemptFailure> {
        let sending = send(shared, &place, req, may_repeat);
        let limit = until.saturating_duration_since(lift_clock::now());
        let sent = tokio::time::timeout(limit, sending).await;
        let (response, sender) = sent.map_err(|_| lift_dispatch::AttemptFailure::Silent)??;
        place.hear();
        let (parts, body) = response.into_parts();
        let head = shared.dialect.read_answer(&parts);
        if head.id.as_deref().is_some_and(|echoed| echoed != id) {
            return Err(lift_dispatch::AttemptFailure::Damaged);
        }
        Ok(Self {
            parts,
            head,
            body,
            place,
            sender,
        })
    }

    /// Gives the connection back after the answer was read to its end.
    pub(crate) fn finish(self, shared: &sync::Arc<shared::Shared>) {
        let closes = self
            .parts
            .headers
            .get(http::header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if closes || self.parts.version != http::Version::HTTP_11 {
            return;
        }
        let address = self.place.backend().address;
        let now = lift_clock::now();
        shared
            .pool
            .put(now, address, self.sender, self.head.keep_alive);
    }
}

async fn send(
    shared: &shared::Shared,
    place: &place::Place,
    req: Request,
    may_repeat: bool,
) -> Result<
    (
        http::Response<hyper::body::Incoming>,
        backend_connection::Sender,
    ),
    lift_dispatch::AttemptFailure,
> {
    let address = place.backend().address;
    let max_idle = if may_repeat { ANY_IDLE } else { FRESH_IDLE };
    let mut req = req;
    if let Some(mut sender) = shared.pool.take(lift_clock::now(), address, max_idle) {
        match sender.try_send_request(req).await {
            Ok(response) => return Ok((response, sender)),
            // The backend server has closed the idle connection before anything was sent.
            Err(mut error) => match error.take_message() {
                Some(unsent) => req = unsent,
                None => return Err(lift_dispatch::AttemptFailure::Broken),
            },
        }
    }
    let opened = backend_connection::open(address).await;
    let mut sender = opened.ok_or(lift_dispatch::AttemptFailure::NotSent)?;
    shared.counters.increment("gateway.connections_opened");
    match sender.try_send_request(req).await {
        Ok(response) => Ok((response, sender)),
        Err(error) if error.message().is_some() => Err(lift_dispatch::AttemptFailure::NotSent),
        Err(_) => Err(lift_dispatch::AttemptFailure::Broken),
    }
}
