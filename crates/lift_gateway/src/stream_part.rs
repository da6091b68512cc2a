//! Part of a stream.

use http::header;

use crate::exchange;

/// Events at the beginning of an answer. A part of a prompt that crashes backend servers does so
/// while they write these; an answer that is longer shows that its parts do not.
const BEGINNING_EVENTS: u64 = 2;

/// The part of a stream that one backend server sends.
#[derive(Debug)]
pub(crate) struct StreamPart {
    pub(crate) exchange: exchange::Exchange,
    is_continuation: bool,
    /// Events that were complete.
    events: u64,
}

impl StreamPart {
    /// The part with which the stream begins.
    pub(crate) fn first(exchange: exchange::Exchange) -> Self {
        Self {
            exchange,
            is_continuation: false,
            events: 0,
        }
    }

    /// A part that goes on where another one broke off.
    pub(crate) fn continuation(exchange: exchange::Exchange) -> Self {
        Self {
            is_continuation: true,
            ..Self::first(exchange)
        }
    }

    /// Records that `count` more events were complete.
    pub(crate) fn record_events(&mut self, count: u64) {
        self.events += count;
    }

    /// Whether the backend server has written more than the beginning of its answer.
    pub(crate) fn is_under_way(&self) -> bool {
        self.events > BEGINNING_EVENTS
    }

    /// Whether the part should go on where another one broke off and has had no event so far. Its
    /// comments may come from anything else.
    pub(crate) fn continues_nothing_yet(&self) -> bool {
        self.is_continuation && self.events == 0
    }

    /// Whether the end of the answer may be the end of the stream. An answer without any event may
    /// have broken off after its head if it ends with its connection, and as a continuation it
    /// shows nothing of the events that are missing.
    pub(crate) fn may_end(&self) -> bool {
        self.events > 0 || (!self.is_continuation && self.exchange.is_end_marked())
    }

    /// Type of the events, in lower case and without parameters.
    pub(crate) fn media_type(&self) -> Option<String> {
        let value = self.exchange.parts.headers.get(header::CONTENT_TYPE)?;
        let media_type = value.to_str().ok()?.split(';').next()?;
        Some(media_type.trim().to_ascii_lowercase())
    }
}
