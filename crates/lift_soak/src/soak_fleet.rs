//! The fleet with all that is around it.

use std::{net, path, sync, time};

use nix::sys::signal;
use sync::atomic;
use tokio::sync::mpsc;

use crate::{
    callers, cast, control_calls, fault, heartbeats, host_link, link_fault, operator_order, oracle,
    process_settings, soak_caller, soak_error, soak_host, soak_operator, soak_origin, soak_process,
    soak_server,
};

/// Callers.
const CALLERS: u64 = 8;

/// Time for which a server serves after its leave was acknowledged.
pub(crate) const DRAIN: time::Duration = time::Duration::from_secs(2);

type Result<T> = std::result::Result<T, soak_error::SoakError>;

/// Processes, links, stand-ins and callers of one soak.
#[derive(Debug)]
pub(crate) struct SoakFleet {
    pub(crate) hosts: indexmap::IndexMap<u8, soak_host::SoakHost>,
    links: indexmap::IndexMap<u8, host_link::HostLink>,
    pub(crate) servers: indexmap::IndexMap<u8, sync::Arc<soak_server::SoakServer>>,
    origin: sync::Arc<soak_origin::SoakOrigin>,
    pub(crate) calls: sync::Arc<control_calls::ControlCalls>,
    pub(crate) callers: sync::Arc<callers::Callers>,
    pub(crate) oracle: sync::Arc<oracle::Oracle>,
    orders: mpsc::UnboundedSender<operator_order::OperatorOrder>,
    /// Newest version of the weights that was acknowledged.
    pub(crate) weights: sync::Arc<atomic::AtomicU64>,
}

impl SoakFleet {
    /// Starts everything but the callers.
    pub(crate) async fn start(
        cast: cast::Cast,
        program: &path::Path,
        folder: &path::Path,
    ) -> Result<Self> {
        let oracle = sync::Arc::new(oracle::Oracle::new());
        let calls = sync::Arc::new(control_calls::ControlCalls::new(cast));
        let callers = sync::Arc::new(callers::Callers {
            oracle: sync::Arc::clone(&oracle),
            keys: parking_lot::Mutex::default(),
            counts: parking_lot::Mutex::default(),
            is_calm: atomic::AtomicBool::new(false),
        });
        let weights = sync::Arc::new(atomic::AtomicU64::new(0));
        let (orders, received) = mpsc::unbounded_channel();
        let operator = soak_operator::SoakOperator::new(
            cast,
            sync::Arc::clone(&calls),
            sync::Arc::clone(&callers),
            sync::Arc::clone(&weights),
        );
        tokio::spawn(operator.run(received));
        let reading = soak_operator::read(sync::Arc::clone(&calls), sync::Arc::clone(&oracle));
        tokio::spawn(reading);
        let mut fleet = Self {
            hosts: indexmap::IndexMap::new(),
            links: indexmap::IndexMap::new(),
            servers: indexmap::IndexMap::new(),
            origin: sync::Arc::default(),
            calls,
            callers,
            oracle,
            orders,
            weights,
        };
        let origin = cast.service(cast::Cast::origin()).own;
        sync::Arc::clone(&fleet.origin).start(origin).await?;
        fleet.start_servers(cast).await?;
        fleet.start_processes(cast, program, folder).await?;
        Ok(fleet)
    }

    async fn start_servers(&mut self, cast: cast::Cast) -> Result<()> {
        let engines = (0..cast::ENGINES).map(cast::Cast::agent);
        let plain = (0..cast::PLAIN_SERVERS).map(cast::Cast::plain);
        for host in engines.chain(plain) {
            let oracle = sync::Arc::clone(&self.oracle);
            let server = soak_server::SoakServer::start(cast, host, oracle).await?;
            let calls = sync::Arc::clone(&self.calls);
            tokio::spawn(heartbeats::run(sync::Arc::clone(&server), calls));
            self.servers.insert(host, server);
            let link = host_link::HostLink::start(cast, host).await?;
            self.links.insert(host, link);
        }
        Ok(())
    }

    async fn start_processes(
        &mut self,
        cast: cast::Cast,
        program: &path::Path,
        folder: &path::Path,
    ) -> Result<()> {
        for host in cast::Cast::hosts() {
            if !self.links.contains_key(&host) {
                let link = host_link::HostLink::start(cast, host).await?;
                self.links.insert(host, link);
            }
            let folder = folder.join(format!("h{host}"));
            let process =
                soak_process::SoakProcess::new(path::PathBuf::from(program), folder.clone());
            process_settings::write(cast, host, true, &folder, &process.data())?;
            let mut started = soak_host::SoakHost::new(process);
            started.start()?;
            self.hosts.insert(host, started);
        }
        Ok(())
    }

    /// Writes settings in which this is no first start any more.
    pub(crate) fn settle_settings(&self, cast: cast::Cast, folder: &path::Path) -> Result<()> {
        for (host, started) in &self.hosts {
            let folder = folder.join(format!("h{host}"));
            process_settings::write(cast, *host, false, &folder, &started.process.data())?;
        }
        Ok(())
    }

    /// Starts the callers, which reach the gateways at `gateways`. They stop with the runtime.
    pub(crate) fn start_callers(&self, seed: u64, gateways: &[net::SocketAddr]) {
        for number in 0..CALLERS {
            let callers = sync::Arc::clone(&self.callers);
            let gateways = gateways.to_vec();
            tokio::spawn(soak_caller::run(callers, gateways, number, seed));
        }
    }

    /// Gives the operator an order.
    pub(crate) fn order(&self, order: operator_order::OperatorOrder) {
        // The operator lives as long as the runtime.
        let _ = self.orders.send(order);
    }

    /// Begins a fault.
    pub(crate) fn begin(&mut self, fault: fault::Fault) -> Result<()> {
        match fault {
            fault::Fault::Kill(host) => self.each(host, soak_host::SoakHost::kill),
            fault::Fault::KillAll => self.hosts.values_mut().for_each(soak_host::SoakHost::kill),
            fault::Fault::Pause(host) => self.signal(host, signal::Signal::SIGSTOP),
            fault::Fault::Stop(host) => self.each(host, soak_host::SoakHost::stop),
            fault::Fault::Reload(host) => self.each(host, soak_host::SoakHost::reload),
            fault::Fault::Resettle(host) => {
                if let Some(started) = self.hosts.get(&host) {
                    process_settings::rotate_seeds(&started.process.settings())?;
                }
            }
            fault::Fault::Wipe(host) => {
                if let Some(started) = self.hosts.get_mut(&host) {
                    started.kill();
                    started.process.wipe()?;
                }
            }
            fault::Fault::Link(host, fault) => self.set_link(host, fault),
            fault::Fault::Reset(host) => self.reset(host),
            fault::Fault::Crash(host) => {
                self.reset(host);
                if let Some(server) = self.servers.get(&host) {
                    server.restart();
                }
            }
            fault::Fault::Leave(host) => {
                if let Some(server) = self.servers.get(&host) {
                    server.is_leaving.store(true, atomic::Ordering::Relaxed);
                }
            }
            fault::Fault::Spoil(host) => {
                let server = self.servers.get(&host);
                if let Some(engine) = server.and_then(|server| server.engine.as_ref()) {
                    engine.lock().spoil();
                }
            }
            fault::Fault::OriginDown => self.origin.is_down.store(true, atomic::Ordering::Relaxed),
            fault::Fault::OriginSpoilt => {
                self.origin.is_spoilt.store(true, atomic::Ordering::Relaxed);
            }
            fault::Fault::Change => self.order(operator_order::OperatorOrder::Change),
            fault::Fault::Revoke => self.order(operator_order::OperatorOrder::Revoke),
            fault::Fault::NameWeights => self.order(operator_order::OperatorOrder::NameWeights),
        }
        Ok(())
    }

    /// Ends a fault.
    pub(crate) fn end(&mut self, fault: fault::Fault) -> Result<()> {
        match fault {
            fault::Fault::Kill(host) | fault::Fault::Wipe(host) => {
                if let Some(started) = self.hosts.get_mut(&host) {
                    started.start()?;
                }
            }
            fault::Fault::KillAll => {
                for started in self.hosts.values_mut() {
                    started.start()?;
                }
            }
            fault::Fault::Pause(host) => self.signal(host, signal::Signal::SIGCONT),
            fault::Fault::Link(host, _) => self.set_link(host, link_fault::LinkFault::None),
            fault::Fault::OriginDown => {
                self.origin.is_down.store(false, atomic::Ordering::Relaxed);
            }
            fault::Fault::OriginSpoilt => {
                self.origin
                    .is_spoilt
                    .store(false, atomic::Ordering::Relaxed);
            }
            _ => {}
        }
        Ok(())
    }

    /// Looks after processes and servers, and notes what ended by itself.
    pub(crate) fn look(&mut self) -> Result<()> {
        for (host, started) in &mut self.hosts {
            if let Some(fault) = started.look()? {
                self.oracle
                    .violate(format!("process of host {host} {fault}"));
            }
        }
        for server in self.servers.values() {
            let released = *server.released_at.lock();
            if released.is_some_and(|at| at.elapsed() > DRAIN * 2) {
                server.restart();
            }
        }
        Ok(())
    }

    /// Ends all faults.
    pub(crate) fn heal(&mut self) -> Result<()> {
        for link in self.links.values() {
            link.set(link_fault::LinkFault::None);
        }
        for started in self.hosts.values_mut() {
            started.process.signal(signal::Signal::SIGCONT);
            started.start()?;
        }
        self.origin.is_down.store(false, atomic::Ordering::Relaxed);
        self.origin
            .is_spoilt
            .store(false, atomic::Ordering::Relaxed);
        Ok(())
    }

    fn each(&mut self, host: u8, change: impl FnOnce(&mut soak_host::SoakHost)) {
        if let Some(started) = self.hosts.get_mut(&host) {
            change(started);
        }
    }

    fn signal(&mut self, host: u8, signal: signal::Signal) {
        self.each(host, |started| started.process.signal(signal));
    }

    fn set_link(&self, host: u8, fault: link_fault::LinkFault) {
        if let Some(link) = self.links.get(&host) {
            link.set(fault);
        }
    }

    fn reset(&self, host: u8) {
        if let Some(link) = self.links.get(&host) {
            link.reset();
        }
    }
}
