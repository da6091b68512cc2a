//! Part of a stream.

use http::header;

use crate::exchange;

/// The part of a stream that one backend server sends.
#[derive(Debug)]
pub(crate) struct StreamPart {
    pub(crate) exchange: exchange::Exchange,
    is_continuation: bool,
    has_events: bool,
}

impl StreamPart {
    /// The part with which the stream begins.
    pub(crate) fn first(exchange: exchange::Exchange) -> Self {
        Self {
            exchange,
            is_continuation: false,
            has_events: false,
        }
    }

    /// A part that goes on where another one broke off.
    pub(crate) fn continuation(exchange: exchange::Exchange) -> Self {
        Self {
            is_continuation: true,
            ..Self::first(exchange)
        }
    }

    /// Records that an event was complete.
    pub(crate) fn record_event(&mut self) {
        self.has_events = true;
    }

    /// Whether the end of the answer may be the end of the stream. An answer without any event may
    /// have broken off after its head if it ends with its connection, and as a continuation it
    /// shows nothing of the events that are missing.
    pub(crate) fn may_end(&self) -> bool {
        self.has_events || (!self.is_continuation && self.has_known_end())
    }

    /// Whether the answer has a length or an end mark.
    fn has_known_end(&self) -> bool {
        let headers = &self.exchange.parts.headers;
        headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Type of the events, in lower case and without parameters.
    pub(crate) fn media_type(&self) -> Option<String> {
        let value = self.exchange.parts.headers.get(header::CONTENT_TYPE)?;
        let media_type = value.to_str().ok()?.split(';').next()?;
        Some(media_type.trim().to_ascii_lowercase())
    }
}
