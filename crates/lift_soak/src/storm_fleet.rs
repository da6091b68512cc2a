//! The fleet of a retry storm.

use std::{net, path, sync, time};

use nix::sys::signal;

use crate::{
    cast, control_calls, host_link, process_settings, request_kind, retry_book, soak_caller,
    soak_error, soak_host, soak_process, soak_server, storm_options, storm_restart, storm_server,
};

/// Backend servers.
const SERVERS: u8 = 10;

/// Pause before a configuration without an acknowledgement is sent again.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Time limit of a look at the readiness of a gateway.
const READY_TIMEOUT: time::Duration = time::Duration::from_millis(500);

type Result<T> = std::result::Result<T, soak_error::SoakError>;

/// Processes and stand-ins of a retry storm.
#[derive(Debug)]
pub(crate) struct StormFleet {
    cast: cast::Cast,
    folder: path::PathBuf,
    hosts: indexmap::IndexMap<u8, soak_host::SoakHost>,
    servers: Vec<sync::Arc<storm_server::StormServer>>,
    gateways: u8,
    paused: Option<u8>,
    calls: sync::Arc<control_calls::ControlCalls>,
    links: Vec<host_link::HostLink>,
}

impl StormFleet {
    /// Starts backend servers and processes, and puts a configuration in force.
    pub(crate) async fn start(
        cast: cast::Cast,
        options: &storm_options::StormOptions,
        folder: &path::Path,
        book: &sync::Arc<retry_book::RetryBook>,
    ) -> Result<Self> {
        let calls = sync::Arc::new(control_calls::ControlCalls::new(cast));
        let mut servers = Vec::new();
        for i in 0..SERVERS {
            let fault = (i >= options.sound_servers).then_some(options.server_fault);
            let book = sync::Arc::clone(book);
            let server =
                storm_server::StormServer::start(cast, cast::Cast::plain(i), fault, book).await?;
            tokio::spawn(sync::Arc::clone(&server).announce(sync::Arc::clone(&calls)));
            servers.push(server);
        }
        let mut fleet = Self {
            cast,
            folder: path::PathBuf::from(folder),
            hosts: indexmap::IndexMap::new(),
            servers,
            gateways: options.gateways,
            paused: None,
            calls,
            links: Vec::new(),
        };
        fleet.start_processes(&options.program).await?;
        fleet.configure().await;
        Ok(fleet)
    }

    async fn start_processes(&mut self, program: &path::Path) -> Result<()> {
        let controls = (0..cast::CONTROLS).map(cast::Cast::control);
        for host in controls.chain((0..self.gateways).map(cast::Cast::gateway)) {
            if cast::Cast::is_control(host) {
                let link = host_link::HostLink::start(self.cast, host).await?;
                self.links.push(link);
            }
            let folder = self.folder.join(format!("h{host}"));
            let process =
                soak_process::SoakProcess::new(path::PathBuf::from(program), folder.clone());
            process_settings::write(self.cast, host, true, &folder, &process.data())?;
            let mut started = soak_host::SoakHost::new(process);
            started.start()?;
            self.hosts.insert(host, started);
        }
        Ok(())
    }

    /// Puts the configuration in force.
    async fn configure(&self) {
        let kind = request_kind::RequestKind::Read;
        let timeout = time::Duration::from_secs(3);
        let text = lift_peer::DocumentText::new(1)
            .service(soak_server::PLAIN_SERVICE)
            .workspace("house", &[String::from(soak_caller::LASTING_KEY)])
            .route(
                soak_caller::HOST,
                kind.prefix(),
                kind.route_kind(),
                kind.service(),
                timeout,
            )
            .text();
        self.put(&text).await;
    }

    /// Sends a document until it is acknowledged.
    pub(crate) async fn put(&self, text: &str) {
        let path = lift_peer::paths::REPLACE;
        while self.calls.post(path, String::from(text)).await.is_none() {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Kills a control member, drops its disk and starts it again.
    pub(crate) fn lose_disk(&mut self, control: u8) -> Result<()> {
        if let Some(started) = self.hosts.get_mut(&cast::Cast::control(control)) {
            started.kill();
            started.process.wipe()?;
            started.start()?;
        }
        Ok(())
    }

    /// Writes settings in which this is no first start any more.
    pub(crate) fn settle_settings(&self) -> Result<()> {
        for (host, started) in &self.hosts {
            let folder = self.folder.join(format!("h{host}"));
            let data = started.process.data();
            process_settings::write(self.cast, *host, false, &folder, &data)?;
        }
        Ok(())
    }

    /// Where callers reach the gateways.
    pub(crate) fn gateways(&self) -> Vec<net::SocketAddr> {
        let gateways = (0..self.gateways).map(cast::Cast::gateway);
        gateways.map(|host| self.cast.service(host).own).collect()
    }

    /// Whether all gateways are ready.
    pub(crate) async fn is_ready(&self) -> bool {
        for host in (0..self.gateways).map(cast::Cast::gateway) {
            let client =
                lift_border::HttpClient::without_pool(&format!("http://{}", self.cast.ready(host)));
            let req = client.request(http::Method::GET, "/ready");
            let sending = client.send(req, bytes::Bytes::new());
            let reply = tokio::time::timeout(READY_TIMEOUT, sending).await;
            let is_ready = reply.is_ok_and(|sent| sent.is_ok_and(|r| r.status().is_success()));
            if !is_ready {
                return false;
            }
        }
        true
    }

    /// Lets backend servers with a fault fail from now on.
    pub(crate) fn fail_servers(&self) {
        for server in &self.servers {
            server.fail();
        }
    }

    /// Carries out restart number `number`. Returns how many processes start anew.
    pub(crate) fn restart(
        &mut self,
        restart: storm_restart::StormRestart,
        number: usize,
    ) -> Result<u64> {
        let gateway = cast::Cast::gateway((number % usize::from(self.gateways)) as u8);
        let control = cast::Cast::control((number % usize::from(cast::CONTROLS)) as u8);
        match restart {
            storm_restart::StormRestart::Kill => self.kill(&[gateway]),
            storm_restart::StormRestart::KillControl => self.kill(&[control]),
            storm_restart::StormRestart::KillAll => {
                let hosts: Vec<u8> = self.hosts.keys().copied().collect();
                self.kill(&hosts)
            }
            storm_restart::StormRestart::Stop => {
                if let Some(started) = self.hosts.get_mut(&gateway) {
                    started.stop();
                }
                Ok(1)
            }
            storm_restart::StormRestart::Pause => {
                if let Some(paused) = self.paused.replace(gateway) {
                    self.signal(paused, signal::Signal::SIGCONT);
                }
                self.signal(gateway, signal::Signal::SIGSTOP);
                Ok(0)
            }
            storm_restart::StormRestart::None => Ok(0),
        }
    }

    /// Lets the gateway go on that was paused.
    pub(crate) fn resume(&mut self) -> Result<()> {
        if let Some(paused) = self.paused.take() {
            self.signal(paused, signal::Signal::SIGCONT);
        }
        Ok(())
    }

    /// Whether a gateway is paused.
    pub(crate) fn has_paused(&self) -> bool {
        self.paused.is_some()
    }

    /// Starts processes again that have stopped.
    pub(crate) fn look(&mut self) -> Result<()> {
        for started in self.hosts.values_mut() {
            started.look()?;
        }
        Ok(())
    }

    /// Kills processes at once, and starts them again.
    fn kill(&mut self, hosts: &[u8]) -> Result<u64> {
        for host in hosts {
            if let Some(started) = self.hosts.get_mut(host) {
                started.kill();
            }
        }
        for host in hosts {
            if let Some(started) = self.hosts.get_mut(host) {
                started.start()?;
            }
        }
        Ok(hosts.len() as u64)
    }

    fn signal(&mut self, host: u8, signal: signal::Signal) {
        if let Some(started) = self.hosts.get_mut(&host) {
            started.process.signal(signal);
        }
    }
}
