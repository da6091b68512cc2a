//! HTTP/1.1, as much of it as the stand-ins need.

use std::{
    io::{self, BufRead as _, BufReader, Read as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Chunks that are sent in place of a body, each after the pause.
    pub chunks: Vec<String>,
    pub pause: Duration,
}

impl Message {
    /// An answer with this status and body.
    pub fn answer(status: &str, body: impl Into<Vec<u8>>) -> Self {
        Self {
            first: format!("HTTP/1.1 {status}"),
            body: body.into(),
            ..Self::default()
        }
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((String::from(name), value.to_string()));
        self
    }

    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// Path of a request, without its query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Value of a field of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields.find(|(n, _)| *n == name).map(|(_, value)| value)
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or_default()
    }

    fn write(&self, to: &mut impl io::Write) -> io::Result<()> {
        let mut text = format!("{}\r\n", self.first);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.chunks.is_empty() {
            text.push_str("Transfer-Encoding: chunked\r\n\r\n");
            to.write_all(text.as_bytes())?;
            for chunk in &self.chunks {
                thread::sleep(self.pause);
                to.write_all(format!("{:x}\r\n{chunk}\r\n", chunk.len()).as_bytes())?;
            }
            return to.write_all(b"0\r\n\r\n");
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        to.write_all(&bytes)
    }

    /// Reads a message. `None` if the connection was closed before it began.
    pub fn read(from: &mut BufReader<TcpStream>) -> io::Result<Option<Self>> {
        let mut message = Self::default();
        if from.read_line(&mut message.first)? == 0 {
            return Ok(None);
        }
        message.first = String::from(message.first.trim_end());
        loop {
            let mut line = String::new();
            if from.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            let value = String::from(value.trim());
            message.headers.push((String::from(name), value));
        }
        if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            message.body.resize(length, 0);
            from.read_exact(&mut message.body)?;
        } else if message.header("transfer-encoding").is_some() {
            read_chunks(from, &mut message.body)?;
        }
        Ok(Some(message))
    }
}

fn read_chunks(from: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        from.read_line(&mut line)?;
        let length = usize::from_str_radix(line.trim(), 16);
        let length = length.map_err(|_| io::ErrorKind::UnexpectedEof)?;
        let start = body.len();
        body.resize(start + length, 0);
        from.read_exact(&mut body[start..])?;
        let mut end = [0; 2];
        from.read_exact(&mut end)?;
        if length == 0 {
            return Ok(());
        }
    }
}

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// What a server does with a request. `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(Message) -> Option<Message> + Send + Sync>;

/// Time between two looks of a listener.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// Serves `handler` on a thread for each connection. Once `has_ended`, the listener is closed, so
/// that new connections are refused, and then all connections, as at the end of a process.
pub fn serve(
    listener: TcpListener,
    handler: Handler,
    has_ended: Arc<AtomicBool>,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    thread::spawn(move || {
        let mut connections: Vec<TcpStream> = Vec::new();
        while !has_ended.load(Ordering::Acquire) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            connections.retain(|stream| stream.peer_addr().is_ok());
            connections.extend(stream.try_clone());
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(&stream, &handler));
        }
        drop(listener);
        for stream in connections {
            let _ = stream.shutdown(Shutdown::Both);
        }
    });
    Ok(())
}

fn serve_connection(stream: &TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream.try_clone()?;
    while let Some(request) = Message::read(&mut reader)? {
        let Some(answer) = handler(request) else {
            return Ok(());
        };
        answer
            .with("Keep-Alive", format!("timeout={}", IDLE_TIMEOUT.as_secs()))
            .write(&mut writer)?;
    }
    Ok(())
}

/// Sends one request on a connection of its own and reads the answer.
pub fn call(
    to: SocketAddr,
    timeout: Duration,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut request = Message {
        first: format!("{method} {target} HTTP/1.1"),
        body: body.to_vec(),
        ..Message::default()
    };
    for (name, value) in headers {
        request = request.with(name, value);
    }
    request = request.with("Connection", "close");
    request.write(&mut &stream)?;
    let answer = Message::read(&mut BufReader::new(stream))?;
    answer.ok_or_else(|| io::ErrorKind::ConnectionReset.into())
}
