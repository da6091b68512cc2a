//! Connections of a listener whose requests all go to one service.

use std::{pin, sync};

use hyper::{body, service};

use crate::{connection_handler, http_connection, idle_connections};

type Error = Box<dyn std::error::Error + Send + Sync>;

/// Serves each connection with a copy of one service, and closes idle ones when there are too many.
#[derive(Clone, Debug)]
pub struct ServiceConnections<S> {
    service: S,
    connection: http_connection::HttpConnection,
    idle: sync::Arc<idle_connections::IdleConnections>,
}

impl<S> ServiceConnections<S> {
    /// Serves connections as `connection` says. `idle` records those of the listener.
    pub fn new(
        service: S,
        connection: http_connection::HttpConnection,
        idle: sync::Arc<idle_connections::IdleConnections>,
    ) -> Self {
        Self {
            service,
            connection,
            idle,
        }
    }
}

impl<S, B> connection_handler::ConnectionHandler for ServiceConnections<S>
where
    S: service::Service<http::Request<body::Incoming>, Response = http::Response<B>>,
    S: Clone + Send + Sync + 'static,
    S::Future: Send + 'static,
    S::Error: Into<Error>,
    B: body::Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Error>,
{
    fn serve(
        &self,
        stream: tokio::net::TcpStream,
        draining: tokio_util::sync::CancellationToken,
    ) -> pin::Pin<Box<dyn Future<Output = ()> + Send>> {
        let Self {
            service,
            connection,
            idle,
        } = self.clone();
        let (id, closing) = idle.open();
        let open = OpenConnection { id, idle };
        Box::pin(async move {
            let idle = sync::Arc::clone(&open.idle);
            let token = closing.clone();
            let service = service::service_fn(move |req| {
                idle.start_request(id);
                let (idle, token) = (sync::Arc::clone(&idle), token.clone());
                let answering = service.call(req);
                async move {
                    let answer = answering.await;
                    idle.wait(id, token);
                    answer
                }
            });
            let serving = connection.serve(stream, service, draining);
            closing.run_until_cancelled(serving).await;
            drop(open);
        })
    }
}

/// A connection that is counted until it is dropped.
struct OpenConnection {
    id: idle_connections::ConnectionId,
    idle: sync::Arc<idle_connections::IdleConnections>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.idle.close(self.id);
    }
}
