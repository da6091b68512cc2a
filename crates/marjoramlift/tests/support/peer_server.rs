//! A backend server that announces itself and answers with large bodies and streams.
#![allow(dead_code, clippy::unwrap_used)]

use std::{
    io::{self, Read as _, Write as _},
    net, thread, time,
};

/// Length of an answer to a path that starts with `/big`, in bytes.
const BIG_BYTES: usize = 4 * 1024 * 1024;

/// Length of an event, and number of events of a stream.
const EVENT_BYTES: usize = 64 * 1024;
const EVENTS: usize = 64;

/// Time between two announcements.
const HEARTBEAT: time::Duration = time::Duration::from_millis(300);

/// Time limit of an announcement.
const HEARTBEAT_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Starts a server at `address`, which announces itself at `control` for ever.
pub fn start(address: net::SocketAddr, control: net::SocketAddr) {
    let text = lift_peer::ServerText {
        id: String::from("s1-0"),
        service: String::from("plain"),
        address,
        failure_domain: String::from("d"),
        slots: 200,
        born: time::SystemTime::now()
            .duration_since(time::UNIX_EPOCH)
            .unwrap(),
    };
    let listener = net::TcpListener::bind(address).unwrap();
    let server = text.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let server = server.clone();
            thread::spawn(move || answer(&server, stream));
        }
    });
    thread::spawn(move || {
        for sequence in 1.. {
            let body = text.heartbeat(sequence, false, None).to_string();
            // A member that doesn't answer is tried again with the next announcement.
            let path = text.heartbeat_path();
            let _ = super::request(control, "POST", &path, &body, HEARTBEAT_LIMIT);
            thread::sleep(HEARTBEAT);
        }
    });
}

/// Answers requests until the connection is closed.
fn answer(server: &lift_peer::ServerText, stream: net::TcpStream) -> io::Result<()> {
    let mut reader = io::BufReader::new(stream.try_clone()?);
    let mut writer = io::BufWriter::new(stream);
    while let Some((path, headers)) = read_head(&mut reader)? {
        let length = headers.get(http::header::CONTENT_LENGTH);
        let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
        io::copy(
            &mut (&mut reader).take(length.unwrap_or(0)),
            &mut io::sink(),
        )?;
        let id = lift_peer::CallHead::read(&headers).id.unwrap_or_default();
        let reply = server.answer(&id, "seal", None, http::Response::builder());
        let headers = reply.headers_ref().cloned().unwrap_or_default();
        writer.write_all(b"HTTP/1.1 200 OK\r\n")?;
        for (name, value) in &headers {
            write!(writer, "{name}: {}\r\n", value.to_str().unwrap_or_default())?;
        }
        if path.starts_with("/stream") {
            write!(writer, "content-type: text/event-stream\r\n")?;
            write!(writer, "transfer-encoding: chunked\r\n\r\n")?;
            let data = "e".repeat(EVENT_BYTES);
            for number in 1..=EVENTS {
                let event = format!("id: {number}\ndata: {data}\n\n");
                write!(writer, "{:x}\r\n{event}\r\n", event.len())?;
            }
            write!(writer, "0\r\n\r\n")?;
        } else {
            let is_big = path.starts_with("/big");
            let body = "b".repeat(if is_big { BIG_BYTES } else { 2 });
            write!(writer, "content-length: {}\r\n\r\n{body}", body.len())?;
        }
        writer.flush()?;
    }
    Ok(())
}

/// Reads path and headers of a request, or `None` at the end of the connection.
fn read_head(reader: &mut impl io::BufRead) -> io::Result<Option<(String, http::HeaderMap)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let path = String::from(first.split(' ').nth(1).unwrap_or_default());
    let mut headers = http::HeaderMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            return Ok(Some((path, headers)));
        };
        let name = http::HeaderName::try_from(name).map_err(io::Error::other)?;
        let value = http::HeaderValue::from_str(value).map_err(io::Error::other)?;
        headers.insert(name, value);
    }
}
