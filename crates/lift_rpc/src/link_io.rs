//! Reading and writing of packets, common to both ends.

use std::time;

use tokio::net::tcp;
use tokio::sync::mpsc;
use tokio::time as timer;

use crate::packet;

/// Time after which a connection that delivers nothing is closed. Both ends send at least
/// every second, so a device on the path has then lost the connection.
pub(crate) const SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Bytes that are gathered into one write.
const WRITE_BYTES: usize = 64 * 1024;

/// Reads the next packet. `None` where the connection ended, was silent or is closed.
pub(crate) async fn read(
    reader: &mut lift_wire::FrameReader<tcp::OwnedReadHalf>,
    closed: &tokio_util::sync::CancellationToken,
) -> Option<packet::Packet> {
    tokio::select! {
        biased;
        () = closed.cancelled() => None,
        read = timer::timeout(SILENCE_TIMEOUT, reader.recv()) => read.ok()?.ok(),
    }
}

/// Writes packets until the connection ends or is closed, then closes it.
pub(crate) async fn write(
    mut writer: lift_wire::FrameWriter<tcp::OwnedWriteHalf>,
    mut rx: mpsc::Receiver<packet::Packet>,
    closed: tokio_util::sync::CancellationToken,
) {
    loop {
        let first = tokio::select! {
            biased;
            () = closed.cancelled() => break,
            first = rx.recv() => first,
        };
        let Some(first) = first else {
            break;
        };
        if writer.push(&first).is_err() {
            break;
        }
        while writer.buffered() < WRITE_BYTES
            && let Ok(next) = rx.try_recv()
        {
            if writer.push(&next).is_err() {
                break;
            }
        }
        let flushed = timer::timeout(SILENCE_TIMEOUT, writer.flush()).await;
        if !matches!(flushed, Ok(Ok(()))) {
            break;
        }
    }
    closed.cancel();
}
