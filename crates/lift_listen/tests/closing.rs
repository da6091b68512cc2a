//! Callers that connect while the listener is closed: each connection is served or refused.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{io, io::Read as _, io::Write as _, net, pin, sync, thread, time};

use tokio_util::sync as cancellation;

/// Closed listeners, each under the load of all callers.
const ROUNDS: usize = 8;

/// Threads that connect again and again.
const CALLERS: usize = 12;

/// Answers one byte with the same byte.
struct Echo;

impl lift_listen::ConnectionHandler for Echo {
    fn serve(
        &self,
        mut stream: tokio::net::TcpStream,
        _draining: cancellation::CancellationToken,
    ) -> pin::Pin<Box<dyn Future<Output = ()> + Send>> {
        Box::pin(async move {
            let (mut rx, mut tx) = stream.split();
            tokio::io::copy(&mut rx, &mut tx).await.ok();
        })
    }
}

/// Calls until the connection is refused. Returns the number of answers.
fn call_until_refused(address: net::SocketAddr) -> io::Result<usize> {
    let mut answers = 0;
    loop {
        let mut stream = match net::TcpStream::connect(address) {
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => return Ok(answers),
            connected => connected?,
        };
        stream.write_all(b"x")?;
        stream.read_exact(&mut [0])?;
        answers += 1;
    }
}

#[test]
fn no_connection_is_reset_when_the_listener_closes() {
    // Guards against closing a listener to which the kernel is still completing connections.
    let runtime = tokio::runtime::Runtime::new().unwrap();
    for round in 0..ROUNDS {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0");
        let listener = runtime.block_on(listener).unwrap();
        let address = listener.local_addr().unwrap();
        let draining = cancellation::CancellationToken::new();
        let handler = sync::Arc::new(Echo);
        let serving = lift_listen::serve(listener, 1_000, handler, draining.clone());
        let serving = runtime.spawn(serving);
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| thread::spawn(move || call_until_refused(address)))
            .collect();
        thread::sleep(time::Duration::from_millis(50));
        draining.cancel();
        runtime.block_on(serving).unwrap();
        for caller in callers {
            let answers = caller.join().unwrap();
            assert!(answers.is_ok(), "round {round}: {answers:?}");
        }
    }
}
