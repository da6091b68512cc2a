//! Splits a stream of bytes into events.

use bytes::Buf as _;

use crate::event_error;

/// Longest incomplete event that is buffered, in bytes. Events contain a few tokens.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Collects bytes of an event stream and returns only complete events, in order and each once.
/// The bytes of an incomplete event are kept back, since the backend server may fail in the
/// middle of it.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    buf: bytes::BytesMut,
    last_event: Option<u64>,
    complete_events: u64,
}

impl EventBuffer {
    /// Creates an empty buffer. The first event must follow event `last_event`; without one, the
    /// first event may have any number.
    pub fn new(last_event: Option<u64>) -> Self {
        Self {
            buf: bytes::BytesMut::new(),
            last_event,
            complete_events: 0,
        }
    }

    /// Number of numbered events that were complete, over all backend servers of the stream.
    pub fn complete_events(&self) -> u64 {
        self.complete_events
    }

    /// Number of the last complete event, or the one given to [`Self::new`] if there is none yet.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Whether an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Discards a buffered incomplete event, before the stream resumes at another backend server.
    pub fn discard_partial_event(&mut self) {
        self.buf.clear();
    }

    /// Appends `bytes` and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns an error if an event has no valid number, is out of order or is too long. Comments
    /// need no number. Events that the same call has completed before the error are lost, and
    /// [`Self::last_event`] does not count them, so that a resumed stream repeats them.
    pub fn push(&mut self, bytes: &[u8]) -> Result<bytes::Bytes, event_error::EventError> {
        // The end of an event may start in the last three bytes that were buffered before.
        let mut searched = self.buf.len().saturating_sub(3);
        self.buf.extend_from_slice(bytes);
        let mut complete = 0;
        let last_returned = self.last_event;
        while let Some(end) = find_event_end(&self.buf[searched..]) {
            let end = searched + end;
            if let Err(error) = self.check_event(complete, end) {
                self.last_event = last_returned;
                return Err(error);
            }
            complete = end;
            searched = end;
        }
        if self.buf.len() - complete > MAX_EVENT_BYTES {
            return Err(event_error::EventError::TooLong);
        }
        let events = self.buf.split_to(complete).freeze();
        if !self.buf.has_remaining() {
            self.buf = bytes::BytesMut::new();
        }
        Ok(events)
    }

    fn check_event(&mut self, start: usize, end: usize) -> Result<(), event_error::EventError> {
        let event = &self.buf[start..end];
        if is_comment(event) {
            return Ok(());
        }
        let found = event_number(event).ok_or(event_error::EventError::Unnumbered)?;
        match self.last_event {
            Some(last) if found <= last || found > last + 1 => {
                Err(event_error::EventError::OutOfOrder { last, found })
            }
            _ => {
                self.last_event = Some(found);
                self.complete_events += 1;
                Ok(())
            }
        }
    }
}

/// Index after the empty line that ends the first event.
fn find_event_end(buf: &[u8]) -> Option<usize> {
    let mut i = 0;
    while i < buf.len() {
        if buf[i] == b'\n' {
            match buf.get(i + 1..) {
                Some([b'\n', ..]) => return Some(i + 2),
                Some([b'\r', b'\n', ..]) => return Some(i + 3),
                _ => {}
            }
        }
        i += 1;
    }
    None
}

fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = event.split(|b| *b == b'\n');
    lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

fn is_comment(event: &[u8]) -> bool {
    lines(event).all(|line| line.is_empty() || line.starts_with(b":"))
}

fn event_number(event: &[u8]) -> Option<u64> {
    let value = lines(event).find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
