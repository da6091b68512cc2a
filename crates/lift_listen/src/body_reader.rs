//! Reads bodies within a budget.

use std::time;

use http_body_util::BodyExt as _;

use crate::{body_error, held_buffer, held_bytes};

/// Time without progress after which a large body is given up while memory is short.
const SHORT_STALL_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// Time between two looks at whether memory is short.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Bytes that count as progress of a large body while memory is short. A lower rate would hold
/// memory of others for minutes.
const PROGRESS_BYTES: usize = 4 * 1024;

/// Limits of the bodies of one listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyReader {
    /// Longest body, in bytes.
    pub max_bytes: usize,
    /// Time without a byte after which a body is given up.
    pub stall_timeout: time::Duration,
}

impl BodyReader {
    /// Reads `body` to its end. `headers` are those of its request; an announced length over the
    /// limit is an error before a byte of the body is read. The memory is counted in `held`, until
    /// the last copy of the body is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too long, stalls or breaks off, or if `held` may not grow.
    pub async fn read<B>(
        self,
        headers: &http::HeaderMap,
        body: B,
        held: held_bytes::HeldBytes,
    ) -> Result<bytes::Bytes, body_error::BodyError>
    where
        B: hyper::body::Body<Data = bytes::Bytes>,
    {
        let announced = announced(headers);
        if announced.is_some_and(|length| length > self.max_bytes as u64) {
            return Err(body_error::BodyError::TooLong);
        }
        let limit = announced.map_or(self.max_bytes, |length| length as usize);
        let mut buf = held_buffer::HeldBuffer::new(held, limit);
        let mut body = std::pin::pin!(body);
        let (mut last_byte, mut last_progress) = (now(), now());
        let mut since_progress = 0;
        loop {
            let frame = tokio::time::timeout(CHECK_INTERVAL, body.frame()).await;
            if let Ok(frame) = frame {
                let Some(frame) = frame else {
                    return Ok(buf.finish());
                };
                let frame = frame.map_err(|_| body_error::BodyError::Broken)?;
                let data = frame.data_ref().map_or(&[][..], |data| &data[..]);
                if buf.len() + data.len() > self.max_bytes {
                    return Err(body_error::BodyError::TooLong);
                }
                if !buf.push(data) {
                    return Err(body_error::BodyError::Overloaded);
                }
                last_byte = now();
                since_progress += data.len();
                if since_progress >= PROGRESS_BYTES {
                    (last_progress, since_progress) = (last_byte, 0);
                }
            }
            if now() - last_byte >= self.stall_timeout {
                return Err(body_error::BodyError::Stalled);
            }
            if now() - last_progress >= SHORT_STALL_TIMEOUT && buf.may_be_dropped() {
                return Err(body_error::BodyError::Overloaded);
            }
        }
    }
}

fn now() -> tokio::time::Instant {
    tokio::time::Instant::now()
}

fn announced(headers: &http::HeaderMap) -> Option<u64> {
    let length = headers.get(http::header::CONTENT_LENGTH)?;
    length.to_str().ok()?.parse().ok()
}
