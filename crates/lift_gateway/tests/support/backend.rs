//! A backend server with scripted replies.

use std::{net, ops, sync, time};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Time from a request that crashes the server to the beginning of its answer.
const PREFILL_TIME: time::Duration = time::Duration::from_millis(150);

/// How a backend server replies to one request.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// Closes the connection after reading the head of the request.
    Break,
    /// Never replies.
    Hang,
    /// Sends an answer.
    Answer(Answer),
    /// Sends the steps as they are. `{id}` stands for the identifier of the request.
    Script(Vec<Step>),
}

/// A step of a scripted reply. After the last one the connection serves its next request.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Sends a text.
    Send(String),
    /// Waits for some milliseconds.
    Pause(u64),
    /// Sends a text again and again, with a pause in milliseconds, until the connection breaks.
    Repeat(String, u64),
    /// Sends a text if the connection has carried another request before.
    SendIfUsed(String),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

impl Step {
    pub(crate) fn send(text: &str) -> Self {
        Self::Send(String::from(text))
    }

    pub(crate) fn send_if_used(text: &str) -> Self {
        Self::SendIfUsed(String::from(text))
    }

    pub(crate) fn repeat(text: &str, pause_ms: u64) -> Self {
        Self::Repeat(String::from(text), pause_ms)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Answer {
    status: u16,
    headers: Vec<(String, String)>,
    body: String,
    is_sealed: bool,
    is_truncated: bool,
    delay: time::Duration,
}

impl Reply {
    pub(crate) fn ok(body: &str) -> Self {
        Self::Answer(Answer {
            status: 200,
            headers: Vec::new(),
            body: String::from(body),
            is_sealed: true,
            is_truncated: false,
            delay: time::Duration::ZERO,
        })
    }

    pub(crate) fn status(status: u16) -> Self {
        Self::ok("failed").change(|answer| answer.status = status)
    }

    pub(crate) fn events(numbers: ops::RangeInclusive<u64>) -> Self {
        let events = numbers.map(|n| format!("id: {n}\ndata: word\n\n"));
        Self::ok(&events.collect::<String>())
    }

    /// Appends the first part of event 4.
    pub(crate) fn partial_event(self) -> Self {
        self.change(|answer| answer.body.push_str("id: 4\nda"))
    }

    pub(crate) fn header(self, name: &str, value: &str) -> Self {
        let header = (String::from(name), String::from(value));
        self.change(|answer| answer.headers.push(header))
    }

    pub(crate) fn headers(self, headers: &[(&str, &str)]) -> Self {
        headers
            .iter()
            .fold(self, |reply, (name, value)| reply.header(name, value))
    }

    pub(crate) fn unsealed(self) -> Self {
        self.change(|answer| answer.is_sealed = false)
    }

    /// Announces a longer body than it sends, and then closes the connection.
    pub(crate) fn truncated(self) -> Self {
        self.change(|answer| answer.is_truncated = true)
    }

    pub(crate) fn delayed(self, ms: u64) -> Self {
        self.change(|answer| answer.delay = time::Duration::from_millis(ms))
    }

    fn change(self, change: impl FnOnce(&mut Answer)) -> Self {
        match self {
            Self::Answer(mut answer) => {
                change(&mut answer);
                Self::Answer(answer)
            }
            other => other,
        }
    }
}

/// A request that a backend server has received.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) workspace: Option<String>,
    pub(crate) key: Option<String>,
    pub(crate) priority: Option<String>,
    pub(crate) last_event: Option<String>,
}

/// A backend server. Sends the given replies in order, and then answers `done`.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) address: net::SocketAddr,
    state: sync::Arc<State>,
}

#[derive(Debug)]
struct State {
    replies: parking_lot::Mutex<Vec<Reply>>,
    received: parking_lot::Mutex<Vec<ReceivedRequest>>,
    hanging: sync::atomic::AtomicUsize,
    /// A part of a prompt or of a path on which the server ends, and what it sends before.
    deadly_part: Option<(String, String)>,
    /// Ends the listener, and then `ended` the connections. A process that ends refuses connections
    /// when its caller hears of it.
    ending: tokio_util::sync::CancellationToken,
    ended: tokio_util::sync::CancellationToken,
}

impl Backend {
    pub(crate) async fn start(replies: &[Reply]) -> Self {
        Self::start_at(net::SocketAddr::from(([127, 0, 0, 1], 0)), replies).await
    }

    pub(crate) async fn start_at(address: net::SocketAddr, replies: &[Reply]) -> Self {
        Self::start_with(address, replies, None).await
    }

    /// Starts a server that sends `beginning` and ends on requests with `part`, in their prompt or as
    /// a segment of their path: its listener and all
    /// its connections are closed. It answers all other requests.
    pub(crate) async fn start_crashing_on(part: &str, beginning: &str) -> Self {
        let deadly_part = (String::from(part), String::from(beginning));
        let address = net::SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_with(address, &[], Some(deadly_part)).await
    }

    async fn start_with(
        address: net::SocketAddr,
        replies: &[Reply],
        deadly_part: Option<(String, String)>,
    ) -> Self {
        let listener = tokio::net::TcpListener::bind(address).await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut replies = replies.to_vec();
        replies.reverse();
        let state = sync::Arc::new(State {
            replies: parking_lot::Mutex::new(replies),
            received: parking_lot::Mutex::default(),
            hanging: sync::atomic::AtomicUsize::new(0),
            deadly_part,
            ending: tokio_util::sync::CancellationToken::new(),
            ended: tokio_util::sync::CancellationToken::new(),
        });
        let shared = sync::Arc::clone(&state);
        let accepting = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = serve(sync::Arc::clone(&shared), stream);
                tokio::spawn(shared.ended.clone().run_until_cancelled_owned(serving));
            }
        };
        let ending = sync::Arc::clone(&state);
        tokio::spawn(async move {
            ending
                .ending
                .clone()
                .run_until_cancelled_owned(accepting)
                .await;
            ending.ended.cancel();
        });
        Self { address, state }
    }

    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.state.received.lock().clone()
    }

    /// Whether the server has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.state.ended.is_cancelled()
    }

    pub(crate) fn hanging(&self) -> usize {
        self.state.hanging.load(sync::atomic::Ordering::SeqCst)
    }
}

async fn serve(state: sync::Arc<State>, mut stream: tokio::net::TcpStream) {
    let mut buf = Vec::new();
    for request in 0.. {
        let Some(head) = read_head(&mut stream, &mut buf).await else {
            return;
        };
        let find = |name: &str| {
            let prefix = format!("{name}: ");
            let line = head.lines().find_map(|l| l.strip_prefix(&prefix));
            line.map(String::from)
        };
        state.received.lock().push(ReceivedRequest {
            workspace: find("x-workspace"),
            key: find("x-key"),
            priority: find("x-priority"),
            last_event: find("x-last"),
        });
        let id = find("x-id").unwrap_or_default();
        let parts = find("x-parts").unwrap_or_default();
        if let Some((deadly, beginning)) = &state.deadly_part
            && parts
                .split(',')
                .chain(path_segments(&head))
                .any(|part| part == deadly)
        {
            tokio::time::sleep(PREFILL_TIME).await;
            let _ = send(&mut stream, beginning, &id).await;
            state.ending.cancel();
            state.ended.cancelled().await;
            return;
        }
        let reply = state.replies.lock().pop().unwrap_or(Reply::ok("done"));
        let answer = match reply {
            Reply::Break => return,
            Reply::Hang => {
                state.hanging.fetch_add(1, sync::atomic::Ordering::SeqCst);
                // Returns when the gateway closes the connection.
                let _ = stream.read(&mut [0; 16]).await;
                state.hanging.fetch_sub(1, sync::atomic::Ordering::SeqCst);
                return;
            }
            Reply::Answer(answer) => answer,
            Reply::Script(steps) => match play(&mut stream, &steps, &id, request > 0).await {
                Some(()) => continue,
                None => return,
            },
        };
        tokio::time::sleep(answer.delay).await;
        let is_truncated = answer.is_truncated;
        if stream
            .write_all(text(&answer, &id).as_bytes())
            .await
            .is_err()
            || is_truncated
        {
            return;
        }
    }
}

/// Plays a script. `None` if the connection is closed or broken.
async fn play(
    stream: &mut tokio::net::TcpStream,
    steps: &[Step],
    id: &str,
    is_used: bool,
) -> Option<()> {
    for step in steps {
        match step {
            Step::Send(text) => send(stream, text, id).await?,
            Step::Pause(ms) => tokio::time::sleep(time::Duration::from_millis(*ms)).await,
            Step::Repeat(text, pause_ms) => loop {
                send(stream, text, id).await?;
                if *pause_ms > 0 {
                    tokio::time::sleep(time::Duration::from_millis(*pause_ms)).await;
                }
            },
            Step::SendIfUsed(text) if is_used => send(stream, text, id).await?,
            Step::SendIfUsed(_) => {}
            Step::Close => return None,
            Step::Reset => {
                stream.set_zero_linger().unwrap();
                return None;
            }
        }
    }
    Some(())
}

async fn send(stream: &mut tokio::net::TcpStream, text: &str, id: &str) -> Option<()> {
    let text = text.replace("{id}", id);
    stream.write_all(text.as_bytes()).await.ok()
}

fn path_segments(head: &str) -> impl Iterator<Item = &str> {
    let target = head.split(' ').nth(1).unwrap_or_default();
    target.split('/')
}

async fn read_head(stream: &mut tokio::net::TcpStream, buf: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head: Vec<u8> = buf.drain(..end + 4).collect();
            return Some(String::from_utf8_lossy(&head).replace('\r', ""));
        }
        let mut part = [0; 1024];
        match stream.read(&mut part).await {
            Ok(read) if read > 0 => buf.extend_from_slice(&part[..read]),
            _ => return None,
        }
    }
}

fn text(answer: &Answer, id: &str) -> String {
    let mut text = format!("HTTP/1.1 {} X\r\n", answer.status);
    if !answer.headers.iter().any(|(name, _)| name == "x-id") {
        text.push_str(&format!("x-id: {id}\r\n"));
    }
    if answer.is_sealed {
        text.push_str("x-seal: 1\r\n");
    }
    for (name, value) in &answer.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    let missing = if answer.is_truncated { 10 } else { 0 };
    let length = answer.body.len() + missing;
    text.push_str(&format!("content-length: {length}\r\n\r\n{}", answer.body));
    text
}
