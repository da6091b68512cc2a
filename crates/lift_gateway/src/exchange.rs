//! A request sent to a backend server, and its answer.

use std::{sync, time};

use http_body_util::BodyExt as _;

use crate::{answer_head, backend_connection, cold_place, in_flight_request, shared};

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
    body: hyper::body::Incoming,
    pub(crate) in_flight: in_flight_request::InFlightRequest,
    connection: backend_connection::BackendConnection,
}

impl Exchange {
    /// Sends `req` and waits for the head of the answer until `deadline`. `id` identifies the
    /// request, and `place` counts it at its backend server.
    ///
    /// # Errors
    ///
    /// Returns an error if the request can't be sent, if the connection breaks or no head arrives
    /// in time, or if the head carries the identifier of another request or lacks one.
    pub(crate) async fn start(
        place: &cold_place::ColdPlace<'_>,
        in_flight: in_flight_request::InFlightRequest,
        id: &str,
        req: Request,
        is_repeatable: bool,
        deadline: time::Instant,
    ) -> Result<Self, lift_dispatch::AttemptFailure> {
        let shared = place.shared();
        let sent = send(place, &in_flight, req, is_repeatable, deadline).await;
        let (response, connection) = sent?;
        in_flight.receive_head();
        let (parts, body) = response.into_parts();
        let head = shared.dialect.read_answer(&parts);
        if !connection.check_echo(head.id.as_deref(), id) {
            return Err(lift_dispatch::AttemptFailure::Damaged);
        }
        Ok(Self {
            parts,
            head,
            body,
            in_flight,
            connection,
        })
    }

    /// Reads the next frame of the body. `None` at its end.
    pub(crate) async fn next_frame(
        &mut self,
    ) -> Option<Result<hyper::body::Frame<bytes::Bytes>, hyper::Error>> {
        let frame = self.body.frame().await;
        let data = frame.as_ref().and_then(|read| read.as_ref().ok());
        let data = data.and_then(|frame| frame.data_ref());
        if data.is_some_and(|data| !data.is_empty()) {
            self.connection.record_content();
        }
        frame
    }

    /// Length of the answer, if its head tells it.
    pub(crate) fn announced_bytes(&self) -> Option<usize> {
        let length = self.parts.headers.get(http::header::CONTENT_LENGTH)?;
        length.to_str().ok()?.parse().ok()
    }

    /// Whether the answer has a length or chunks, so that its end shows that it is complete. Any
    /// other answer ends with its connection, which may also have broken off.
    pub(crate) fn is_end_marked(&self) -> bool {
        let headers = &self.parts.headers;
        headers.contains_key(http::header::CONTENT_LENGTH)
            || headers.contains_key(http::header::TRANSFER_ENCODING)
    }

    /// Returns the connection to the pool after the answer was read to its end, unless the backend
    /// server closes it or repeats no identifiers, by which the next answer could be checked.
    pub(crate) fn finish(self, shared: &sync::Arc<shared::Shared>) {
        let is_closing = self
            .parts
            .headers
            .get(http::header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        let is_anonymous = self.head.id.is_none();
        if is_closing || is_anonymous || self.parts.version != http::Version::HTTP_11 {
            return;
        }
        let address = self.in_flight.backend().address;
        let now = lift_clock::now();
        shared
            .pool
            .put(now, address, self.connection.reuse(), self.head.keep_alive);
    }
}

type Sent = (
    http::Response<hyper::body::Incoming>,
    backend_connection::BackendConnection,
);

/// Sends `req` on an idle connection or a new one, and waits until `deadline` for the head of its
/// answer. If the deadline passes before a connection is open, the request was not sent.
async fn send(
    place: &cold_place::ColdPlace<'_>,
    in_flight: &in_flight_request::InFlightRequest,
    req: Request,
    is_repeatable: bool,
    deadline: time::Instant,
) -> Result<Sent, lift_dispatch::AttemptFailure> {
    let shared = place.shared();
    let address = in_flight.backend().address;
    let max_idle = if is_repeatable {
        MAX_IDLE_REPEATABLE
    } else {
        MAX_IDLE_NON_REPEATABLE
    };
    let mut req = req;
    if let Some(connection) = shared.pool.take(lift_clock::now(), address, max_idle) {
        match send_on(connection, req, deadline).await? {
            Outcome::Sent(sent) => return Ok(sent),
            // The idle connection was closed before anything was sent.
            Outcome::Unsent(unsent) => req = unsent,
        }
    }
    let opening = backend_connection::BackendConnection::open(address);
    let opened = tokio::time::timeout(time_until(deadline), opening).await;
    let connection = opened.ok().flatten();
    let connection = connection.ok_or(lift_dispatch::AttemptFailure::NotSent)?;
    shared.counters.increment("gateway.connections_opened");
    place.send(lift_clock::now());
    match send_on(connection, req, deadline).await? {
        Outcome::Sent(sent) => Ok(sent),
        Outcome::Unsent(_) => Err(lift_dispatch::AttemptFailure::NotSent),
    }
}

/// Result of sending a request on one connection.
enum Outcome {
    Sent(Sent),
    /// The connection was closed before anything was sent.
    Unsent(Request),
}

async fn send_on(
    mut connection: backend_connection::BackendConnection,
    req: Request,
    deadline: time::Instant,
) -> Result<Outcome, lift_dispatch::AttemptFailure> {
    let sending = connection.send(req);
    let sent = tokio::time::timeout(time_until(deadline), sending).await;
    match sent.map_err(|_| lift_dispatch::AttemptFailure::Silent)? {
        Ok(response) => Ok(Outcome::Sent((response, connection))),
        Err(mut error) => match error.take_message() {
            Some(unsent) => Ok(Outcome::Unsent(unsent)),
            None => Err(lift_dispatch::AttemptFailure::Broken),
        },
    }
}

fn time_until(deadline: time::Instant) -> time::Duration {
    deadline.saturating_duration_since(lift_clock::now())
}
