//! A request sent to a backend server, and its answer.

use std::{sync, time};

use crate::{answer_head, backend_connection, in_flight_request, shared};

/// Idle time below which a connection may be used for a request that must not run twice. The
/// backend server may just be closing a connection that was idle for longer, and then it is
/// unknown whether the request has run.
const MAX_IDLE_NON_REPEATABLE: time::Duration = time::Duration::from_millis(700);

/// Idle time below which a connection may be used for any other request.
const MAX_IDLE_REPEATABLE: time::Duration = time::Duration::from_secs(60);

type Request = http::Request<http_body_util::Full<bytes::Bytes>>;

/// An answer whose head has been received.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) parts: http::response::Parts,
    pub(crate) head: answer_head::AnswerHead,
    pub(crate) body: hyper::body::Incoming,
    pub(crate) in_flight: in_flight_request::InFlightRequest,
    sender: backend_connection::Sender,
}

impl Exchange {
    /// Sends `req` and waits for the head of the answer until `deadline`. `id` identifies the
    /// request.
    ///
    /// # Errors
    ///
    /// Returns an error if the request can't be sent, if the connection breaks or no head arrives
    /// in time, or if the head carries the identifier of another request.
    pub(crate) async fn start(
        shared: &shared::Shared,
        in_flight: in_flight_request::InFlightRequest,
        id: &str,
        req: Request,
        is_repeatable: bool,
        deadline: time::Instant,
    ) -> Result<Self, lift_dispatch::AttemptFailure> {
        let sending = send(shared, &in_flight, req, is_repeatable);
        let limit = deadline.saturating_duration_since(lift_clock::now());
        let sent = tokio::time::timeout(limit, sending).await;
        let (response, sender) = sent.map_err(|_| lift_dispatch::AttemptFailure::Silent)??;
        in_flight.receive_head();
        let (parts, body) = response.into_parts();
        let head = shared.dialect.read_answer(&parts);
        if head.id.as_deref().is_some_and(|echoed| echoed != id) {
            return Err(lift_dispatch::AttemptFailure::Damaged);
        }
        Ok(Self {
            parts,
            head,
            body,
            in_flight,
            sender,
        })
    }

    /// Returns the connection to the pool after the answer was read to its end, unless the backend
    /// server closes it.
    pub(crate) fn finish(self, shared: &sync::Arc<shared::Shared>) {
        let is_closing = self
            .parts
            .headers
            .get(http::header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if is_closing || self.parts.version != http::Version::HTTP_11 {
            return;
        }
        let address = self.in_flight.backend().address;
        let now = lift_clock::now();
        shared
            .pool
            .put(now, address, self.sender, self.head.keep_alive);
    }
}

async fn send(
    shared: &shared::Shared,
    in_flight: &in_flight_request::InFlightRequest,
    req: Request,
    is_repeatable: bool,
) -> Result<
    (
        http::Response<hyper::body::Incoming>,
        backend_connection::Sender,
    ),
    lift_dispatch::AttemptFailure,
> {
    let address = in_flight.backend().address;
    let max_idle = if is_repeatable {
        MAX_IDLE_REPEATABLE
    } else {
        MAX_IDLE_NON_REPEATABLE
    };
    let mut req = req;
    if let Some(mut sender) = shared.pool.take(lift_clock::now(), address, max_idle) {
        match sender.try_send_request(req).await {
            Ok(response) => return Ok((response, sender)),
            // If the idle connection was closed before anything was sent, the request is returned
            // and then sent on a new connection.
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
