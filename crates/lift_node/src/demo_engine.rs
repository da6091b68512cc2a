//! A model engine of the demo.

use std::{net, sync, time};

/// Time that a load takes besides reading the file.
const LOAD_TIME: time::Duration = time::Duration::from_millis(100);

/// Time per token of an answer. An answer takes long enough to be in progress when the
/// version changes.
const TOKEN_DELAY: time::Duration = time::Duration::from_millis(2);

/// Stand-ins for the two ports of an engine: orders and answers.
#[derive(Debug)]
pub(crate) struct DemoEngine {
    orders: lift_standin::AnswerServer,
    answers: lift_standin::AnswerEngine,
}

impl DemoEngine {
    /// Starts an engine that has nothing loaded.
    pub(crate) async fn start() -> std::io::Result<Self> {
        let check = lift_standin::EngineTokenCheck::Refuse;
        let orders = sync::Arc::new(lift_standin::EngineOrders::new(check, LOAD_TIME));
        let answers = lift_standin::AnswerEngine::start(orders.loaded(), TOKEN_DELAY).await?;
        let routes = lift_standin::engine_routes(orders);
        Ok(Self {
            orders: lift_standin::AnswerServer::start(routes).await?,
            answers,
        })
    }

    /// Address for orders.
    pub(crate) fn order_addr(&self) -> net::SocketAddr {
        self.orders.addr()
    }

    /// Address for requests.
    pub(crate) fn answer_addr(&self) -> net::SocketAddr {
        self.answers.addr()
    }
}
