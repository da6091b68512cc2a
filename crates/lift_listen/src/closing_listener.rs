//! Closing a listener without resetting a connection.

use std::{collections, io, time};

/// Time that connections being opened get to complete once no further ones are let in. Covers a
/// round trip between regions.
const HANDSHAKE_TIME: time::Duration = time::Duration::from_millis(250);

/// A listener that lets no new connection in. A caller that connects is not answered at first; its
/// kernel tries again a second later, and the connection is refused once the listener is closed.
#[derive(Debug)]
pub(crate) struct ClosingListener {
    listener: Option<tokio::net::TcpListener>,
    end: tokio::time::Instant,
    completed: collections::VecDeque<tokio::net::TcpStream>,
}

impl ClosingListener {
    pub(crate) fn new(listener: tokio::net::TcpListener) -> Self {
        // Without the filter, accepting until nothing is left is the best that can be done.
        let _ = ignore_new_connections(&listener);
        Self {
            listener: Some(listener),
            end: tokio::time::Instant::now() + HANDSHAKE_TIME,
            completed: collections::VecDeque::new(),
        }
    }

    /// Returns the next connection that the kernel has completed, or `None` once there is none left
    /// and the listener is closed.
    pub(crate) async fn accept(&mut self) -> Option<tokio::net::TcpStream> {
        if let Some(listener) = &self.listener {
            let accepted = tokio::time::timeout_at(self.end, listener.accept()).await;
            if let Ok(Ok((stream, _))) = accepted {
                return Some(stream);
            }
        }
        if let Some(listener) = self.listener.take() {
            self.completed = accept_completed(listener).unwrap_or_default();
        }
        self.completed.pop_front()
    }
}

/// Makes the kernel drop each packet that opens a connection to `listener`. All other packets pass,
/// so that connections being opened complete.
#[cfg(target_os = "linux")]
fn ignore_new_connections(listener: &tokio::net::TcpListener) -> io::Result<()> {
    /// Opcodes of the classic packet filter: load a byte, jump if a bit is set, return.
    const LOAD_BYTE: u16 = 0x30;
    const JUMP_IF_SET: u16 = 0x45;
    const RETURN: u16 = 0x06;
    /// Offset of the flags in a TCP header, in bytes, and the flag that opens a connection.
    const FLAGS_OFFSET: u32 = 13;
    const SYN: u32 = 0x02;
    let program = [
        socket2::SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        socket2::SockFilter::new(JUMP_IF_SET, 0, 1, SYN),
        socket2::SockFilter::new(RETURN, 0, 0, 0),
        socket2::SockFilter::new(RETURN, 0, 0, u32::MAX),
    ];
    socket2::SockRef::from(listener).attach_filter(&program)
}

#[cfg(not(target_os = "linux"))]
fn ignore_new_connections(_listener: &tokio::net::TcpListener) -> io::Result<()> {
    Err(io::ErrorKind::Unsupported.into())
}

/// Accepts all connections that are complete. The kernel is asked itself, since the runtime knows
/// of a connection only after its next poll.
fn accept_completed(
    listener: tokio::net::TcpListener,
) -> io::Result<collections::VecDeque<tokio::net::TcpStream>> {
    let listener = listener.into_std()?;
    let mut accepted = collections::VecDeque::new();
    while let Ok((stream, _)) = listener.accept() {
        stream.set_nonblocking(true)?;
        accepted.push_back(tokio::net::TcpStream::from_std(stream)?);
    }
    Ok(accepted)
}
