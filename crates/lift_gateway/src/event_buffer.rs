//! Cuts a stream into events.

use bytes::Buf as _;

use crate::event_error;

/// Longest event, in bytes. Events hold a few tokens.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Collects bytes of an event stream and hands out whole events only, in order and each once.
/// The bytes of an event that has not ended are kept back, since its backend server may stop
/// in its middle.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    buf: bytes::BytesMut,
    last: Option<u64>,
}

impl EventBuffer {
    /// Starts after event `last` of an earlier run, where there is one.
    pub fn new(last: Option<u64>) -> Self {
        Self {
            buf: bytes::BytesMut::new(),
            last,
        }
    }

    /// Number of the last event that was handed out.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether a part of an event waits for its end.
    pub fn is_amid_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Drops the part of an event that waits, before another run goes on.
    pub fn drop_part(&mut self) {
        self.buf.clear();
    }

    /// Takes in bytes and returns the whole events that they complete.
    ///
    /// # Errors
    ///
    /// Returns an error where an event has no number, is out of order or is too long. Events
    /// before it are returned by an earlier call or lost with the stream.
    pub fn push(&mut self, bytes: &[u8]) -> Result<bytes::Bytes, event_error::EventError> {
        // The end of an event may begin in the last three bytes that were kept.
        let mut searched = self.buf.len().saturating_sub(3);
        self.buf.extend_from_slice(bytes);
        let mut whole = 0;
        while let Some(end) = find_end(&self.buf[searched..]) {
            let end = searched + end;
            self.check(whole, end)?;
            whole = end;
            searched = end;
        }
        if self.buf.len() - whole > MAX_EVENT_BYTES {
            return Err(event_error::EventError::TooLong);
        }
        let events = self.buf.split_to(whole).freeze();
        if !self.buf.has_remaining() {
            self.buf = bytes::BytesMut::new();
        }
        Ok(events)
    }

    fn check(&mut self, start: usize, end: usize) -> Result<(), event_error::EventError> {
        let event = &self.buf[start..end];
        if is_comment(event) {
            return Ok(());
        }
        let found = number(event).ok_or(event_error::EventError::Unnumbered)?;
        match self.last {
            Some(last) if found <= last || found > last + 1 => {
                Err(event_error::EventError::OutOfOrder { last, found })
            }
            _ => {
                self.last = Some(found);
                Ok(())
            }
        }
    }
}

/// Position behind the empty line that ends an event.
fn find_end(buf: &[u8]) -> Option<usize> {
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

fn number(event: &[u8]) -> Option<u64> {
    let value = lines(event).find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
