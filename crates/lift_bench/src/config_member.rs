//! One control member of the configuration experiment.

use std::{net, path, sync};

use error_stack::ResultExt as _;

use crate::{bench_error, config_forwarder};

type Result<T> = std::result::Result<T, error_stack::Report<bench_error::BenchError>>;

/// A member with its disk folder and addresses, and what runs while it is up.
#[derive(Debug)]
pub(crate) struct ConfigMember {
    pub(crate) id: lift_types::MemberId,
    pub(crate) folder: path::PathBuf,
    listener: net::TcpListener,
    pub(crate) forwarder: config_forwarder::ConfigForwarder,
    running: Option<Running>,
}

#[derive(Debug)]
struct Running {
    driver: sync::Arc<lift_log::LogDriver>,
    machine: sync::Arc<lift_control::ControlMachine>,
    _node: sync::Arc<lift_control::ControlNode>,
    _server: lift_rpc::ControlServer,
}

impl ConfigMember {
    /// Reserves the addresses of a member.
    pub(crate) async fn new(id: lift_types::MemberId, folder: path::PathBuf) -> Result<Self> {
        let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
            .change_context(bench_error::BenchError::Start)?;
        let forwarder = config_forwarder::ConfigForwarder::start(config_forwarder::Path::Closed)
            .await
            .change_context(bench_error::BenchError::Start)?;
        Ok(Self {
            id,
            folder,
            listener,
            forwarder,
            running: None,
        })
    }

    /// Where other members reach it.
    pub(crate) fn peer(&self) -> Result<net::SocketAddr> {
        self.listener
            .local_addr()
            .change_context(bench_error::BenchError::Start)
    }

    /// Starts it from its folder. `initial` are the voters of a new cluster; a member that
    /// joins later gets none.
    pub(crate) async fn start(
        &mut self,
        initial: &[(lift_types::MemberId, net::SocketAddr, net::SocketAddr)],
        switch: &sync::Arc<lift_log::LinkSwitch>,
        keys: &lift_wire::LinkKeys,
    ) -> Result<()> {
        let machine = sync::Arc::new(lift_control::ControlMachine::new());
        let listener = self
            .listener
            .try_clone()
            .change_context(bench_error::BenchError::Start)?;
        let mut builder = lift_log::LogDriver::builder()
            .id(self.id)
            .folder(&self.folder)
            .peer_listener(listener)
            .keys(keys.clone())
            .link_switch(sync::Arc::clone(switch))
            .state_machine(sync::Arc::clone(&machine) as sync::Arc<dyn lift_log::StateMachine>);
        for (id, peer, client) in initial {
            builder = builder.initial_member(*id, *peer, *client);
        }
        let driver = builder
            .start()
            .await
            .change_context(bench_error::BenchError::Start)?;
        let driver = sync::Arc::new(driver);
        let node = lift_control::ControlNode::builder()
            .log(sync::Arc::clone(&driver) as sync::Arc<dyn lift_log::ReplicatedLog>)
            .machine(sync::Arc::clone(&machine))
            .start()
            .change_context(bench_error::BenchError::Start)?;
        let server = lift_rpc::ControlServer::builder()
            .keys(keys.clone())
            .port(sync::Arc::clone(&node) as sync::Arc<dyn lift_rpc::ControlPort>)
            .bind(net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)))
            .await
            .change_context(bench_error::BenchError::Start)?;
        self.forwarder
            .set(config_forwarder::Path::To(server.address()));
        self.running = Some(Running {
            driver,
            machine,
            _node: node,
            _server: server,
        });
        Ok(())
    }

    /// Stops it at once, without handing over the lead.
    pub(crate) async fn kill(&mut self) {
        self.forwarder.set(config_forwarder::Path::Closed);
        if let Some(running) = self.running.take() {
            running.driver.abort().await;
        }
    }

    /// Its log, while it is up.
    pub(crate) fn driver(&self) -> Option<&sync::Arc<lift_log::LogDriver>> {
        self.running.as_ref().map(|running| &running.driver)
    }

    /// Its state, while it is up.
    pub(crate) fn machine(&self) -> Option<&sync::Arc<lift_control::ControlMachine>> {
        self.running.as_ref().map(|running| &running.machine)
    }

    /// Whether it leads and holds its lease.
    pub(crate) fn is_leading(&self) -> bool {
        let Some(driver) = self.driver() else {
            return false;
        };
        let leadership = lift_log::ReplicatedLog::leadership(driver.as_ref());
        let now = std::time::Instant::now();
        matches!(*leadership.borrow(),
            lift_log::Leadership::Leader { lease_until, .. } if now < lease_until)
    }
}
