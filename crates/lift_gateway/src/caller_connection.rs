//! A connection of a caller.

use std::{convert, pin, sync, time};

use tokio_util::sync as cancellation;

use crate::{http_server, shared};

/// How long bytes sent to a caller may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// Serves connections under the limits of the configuration in force when each one is accepted.
#[derive(Debug)]
pub(crate) struct CallerConnections {
    pub(crate) shared: sync::Arc<shared::Shared>,
    pub(crate) idle: sync::Arc<lift_listen::IdleConnections>,
}

impl lift_listen::ConnectionHandler for CallerConnections {
    fn serve(
        &self,
        stream: tokio::net::TcpStream,
        draining: cancellation::CancellationToken,
    ) -> pin::Pin<Box<dyn Future<Output = ()> + Send>> {
        let shared = sync::Arc::clone(&self.shared);
        let limits = shared
            .fleet
            .table()
            .map(|t| *t.limits())
            .unwrap_or_default();
        let connection = lift_listen::HttpConnection::default()
            .head_timeout(limits.idle_timeout)
            .max_head_bytes(limits.head_bytes)
            .unacknowledged_timeout(UNACKNOWLEDGED_TIMEOUT);
        let service = hyper::service::service_fn(move |req| {
            let shared = sync::Arc::clone(&shared);
            async move { Ok::<_, convert::Infallible>(http_server::handle(shared, req).await) }
        });
        let idle = sync::Arc::clone(&self.idle);
        lift_listen::ServiceConnections::new(service, connection, idle).serve(stream, draining)
    }
}
