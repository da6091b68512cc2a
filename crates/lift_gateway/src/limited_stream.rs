//! A TCP stream that fails when too much arrives without content.

use std::{io, pin, sync, task};

use tokio::io::{AsyncRead, AsyncWrite};

use crate::read_allowance;

/// A TCP stream to a backend server that fails once its [`read_allowance::ReadAllowance`] is used
/// up.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    stream: tokio::net::TcpStream,
    allowance: sync::Arc<read_allowance::ReadAllowance>,
}

impl LimitedStream {
    pub(crate) fn new(
        stream: tokio::net::TcpStream,
        allowance: sync::Arc<read_allowance::ReadAllowance>,
    ) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = pin::Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        match self.allowance.take(read) {
            true => polled,
            false => task::Poll::Ready(Err(io::Error::from(io::ErrorKind::InvalidData))),
        }
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
