//! Untrusted callers, each of which sends one kind of load and then keeps its connection open.
#![allow(dead_code)]

use std::{
    io::{self, Read as _, Write as _},
    net, thread, time,
};

/// Time for which a caller tries to send more before it only keeps its connection open.
const SEND_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Bytes that are written at once.
const PART_BYTES: usize = 64 * 1024;

/// What a caller sends after the first line and the headers of its request.
#[derive(Clone, Copy, Debug)]
pub enum Load {
    /// A body of so many bytes with its length, which stops one byte short.
    Short(usize),
    /// The same, in pieces of 1,000 bytes.
    ShortPieces(usize),
    /// So many bytes in chunks of the second size, without the last chunk.
    Chunks(usize, usize),
    /// An announced length, of which only the second number of bytes is sent.
    Announced(usize, usize),
    /// A head that goes on for so many bytes and never ends.
    Head(usize),
    /// A whole request without a body, whose answer isn't read beyond its first byte.
    SlowReader,
    /// Nothing at all.
    Idle,
}

/// Callers that keep their connections open until they are dropped.
pub struct Crowd(Vec<net::TcpStream>);

impl Crowd {
    /// Lets `count` callers send `load` to `address`, all at once. `head` gives the first line and
    /// the headers of each one's request.
    pub fn gather(
        address: net::SocketAddr,
        count: usize,
        load: Load,
        head: impl Fn(usize) -> String,
    ) -> Self {
        let callers: Vec<_> = (0..count)
            .map(|number| {
                let head = head(number);
                thread::spawn(move || call(address, load, &head))
            })
            .collect();
        let called = callers.into_iter().filter_map(|caller| caller.join().ok());
        Self(called.flatten().collect())
    }

    /// Lets callers send one after the other. The next one begins when the first byte of the
    /// answer to the one before has arrived.
    pub fn queue(
        address: net::SocketAddr,
        count: usize,
        load: Load,
        head: impl Fn(usize) -> String,
    ) -> Self {
        let callers = (0..count).filter_map(|number| call(address, load, &head(number)));
        Self(callers.collect())
    }
}

/// Connects and sends. A connection that the other side closes is a refusal, which is allowed.
fn call(address: net::SocketAddr, load: Load, head: &str) -> Option<net::TcpStream> {
    let mut stream = net::TcpStream::connect_timeout(&address, SEND_TIMEOUT).ok()?;
    stream.set_write_timeout(Some(SEND_TIMEOUT)).ok()?;
    stream.set_read_timeout(Some(SEND_TIMEOUT)).ok()?;
    // A refused caller sees its connection closed while it sends.
    let _ = send(&mut stream, load, head);
    Some(stream)
}

fn send(stream: &mut net::TcpStream, load: Load, head: &str) -> io::Result<()> {
    match load {
        Load::Short(length) => {
            write!(stream, "{head}content-length: {length}\r\n\r\n")?;
            send_bytes(stream, length - 1, PART_BYTES)
        }
        Load::ShortPieces(length) => {
            write!(stream, "{head}content-length: {length}\r\n\r\n")?;
            send_bytes(stream, length - 1, 1_000)
        }
        Load::Chunks(length, chunk) => {
            write!(stream, "{head}transfer-encoding: chunked\r\n\r\n")?;
            send_chunks(stream, length, chunk)
        }
        Load::Announced(length, sent) => {
            write!(stream, "{head}content-length: {length}\r\n\r\n")?;
            send_bytes(stream, sent, PART_BYTES)
        }
        Load::Head(length) => {
            write!(stream, "{head}x-filler: ")?;
            send_bytes(stream, length, PART_BYTES)
        }
        Load::SlowReader => {
            write!(stream, "{head}\r\n")?;
            stream.read_exact(&mut [0])
        }
        Load::Idle => Ok(()),
    }
}

fn send_bytes(stream: &mut net::TcpStream, length: usize, part: usize) -> io::Result<()> {
    let bytes = vec![b'a'; part];
    let mut left = length;
    while left > 0 {
        let now = left.min(part);
        stream.write_all(&bytes[..now])?;
        left -= now;
    }
    Ok(())
}

/// Sends many small chunks at once, so that the caller is not slower than its link.
fn send_chunks(stream: &mut net::TcpStream, length: usize, chunk: usize) -> io::Result<()> {
    let mut one = format!("{chunk:x}\r\n").into_bytes();
    one.resize(one.len() + chunk, b'a');
    one.extend_from_slice(b"\r\n");
    let at_once = (PART_BYTES / chunk).max(1);
    let part = one.repeat(at_once);
    for _ in 0..length / (at_once * chunk) {
        stream.write_all(&part)?;
    }
    Ok(())
}
