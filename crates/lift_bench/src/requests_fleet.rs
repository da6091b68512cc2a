//! The fleet of the request experiment.

use std::{sync, time};

use error_stack::ResultExt as _;

use crate::{
    bench_error, requests_balancer, requests_control, requests_fault, requests_host,
    requests_options, requests_role,
};

/// Worker threads of all entries together: half of a host with ten cores.
const ENTRY_THREADS: usize = 5;

/// Ledgers, each with its agent.
const LEDGERS: u32 = 3;

/// Number of the first ledger host and of the first entry host.
const FIRST_LEDGER: lift_types::HostId = 1_000;
const FIRST_ENTRY: lift_types::HostId = 2_000;

/// Longest wait for the fleet to be ready.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(15);

/// Time of a graceful stop.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(10);

type Result<T> = std::result::Result<T, error_stack::Report<bench_error::BenchError>>;

/// An entry on threads of its own.
#[derive(Debug)]
pub(crate) struct RequestsEntry {
    pub(crate) entry: Option<sync::Arc<lift_entry::Entry>>,
    pub(crate) role: requests_role::RequestsRole,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
}

/// Control, entries, model hosts and ledger hosts.
#[derive(Debug)]
pub(crate) struct RequestsFleet {
    pub(crate) control: sync::Arc<requests_control::RequestsControl>,
    pub(crate) entries: Vec<RequestsEntry>,
    pub(crate) models: Vec<requests_host::RequestsHost>,
    pub(crate) ledgers: Vec<requests_host::RequestsHost>,
    pub(crate) balancer: sync::Arc<requests_balancer::RequestsBalancer>,
}

impl RequestsFleet {
    /// Starts all parts and waits until the entries know all agents.
    pub(crate) async fn start(options: &requests_options::RequestsOptions) -> Result<Self> {
        let key = lift_wire::LinkKey::new(1, [7; 32]);
        let keys = sync::Arc::new(lift_wire::LinkKeys::new(key));
        let control = requests_control::RequestsControl::start(sync::Arc::clone(&keys)).await?;
        let control = sync::Arc::new(control);
        control.set_services().await?;
        let mut entries = Vec::new();
        let mut places = Vec::new();
        for number in 0..options.entries {
            let threads = (ENTRY_THREADS / options.entries as usize).max(1);
            let role = requests_role::RequestsRole::start(&format!("req-entry-{number}"), threads)?;
            let platform = sync::Arc::new(requests_balancer::RequestsPlatform::default());
            let started = start_entry(
                FIRST_ENTRY + number,
                sync::Arc::clone(&keys),
                sync::Arc::clone(&control),
                sync::Arc::clone(&platform),
            );
            let entry = role.run(started).await??;
            places.push(requests_balancer::RequestsPlace {
                addr: entry.http_addr(),
                platform,
            });
            entries.push(RequestsEntry {
                counters: sync::Arc::clone(entry.counters()),
                entry: Some(sync::Arc::new(entry)),
                role,
            });
        }
        let heartbeats = entries.iter().flat_map(|entry| &entry.entry);
        let site = requests_host::RequestsSite {
            keys,
            control: sync::Arc::clone(&control),
            entries: heartbeats.map(|entry| entry.heartbeat_addr()).collect(),
        };
        let mut models = Vec::new();
        for number in 0..options.replicas {
            let backend = requests_host::RequestsBackend::engine().await?;
            let path = path_of(options, number);
            let host = requests_host::RequestsHost::start(number, backend, site.clone(), path);
            models.push(host.await?);
        }
        let mut ledgers = Vec::new();
        for number in 0..LEDGERS {
            let backend = requests_host::RequestsBackend::ledger().await?;
            let path = path_of(options, number);
            let host = FIRST_LEDGER + number;
            let host = requests_host::RequestsHost::start(host, backend, site.clone(), path);
            ledgers.push(host.await?);
        }
        let fleet = Self {
            control,
            entries,
            models,
            ledgers,
            balancer: sync::Arc::new(requests_balancer::RequestsBalancer::new(places)),
        };
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn wait_ready(&self) -> Result<()> {
        let agents = self.models.len() + self.ledgers.len();
        let ready = async {
            for entry in self.entries.iter().flat_map(|entry| &entry.entry) {
                while entry.live_agents().len() < agents {
                    tokio::time::sleep(time::Duration::from_millis(20)).await;
                }
            }
            tokio::time::sleep(time::Duration::from_millis(300)).await;
        };
        tokio::time::timeout(START_TIMEOUT, ready)
            .await
            .change_context(bench_error::BenchError::Start)
    }

    /// Causes the fault of the experiment for the `step`th time.
    pub(crate) async fn cause(&mut self, fault: requests_fault::RequestsFault, step: u32) {
        let is_first = step == 0;
        match fault {
            requests_fault::RequestsFault::None => {}
            requests_fault::RequestsFault::Silent => {
                let hosts = [&self.models[0], &self.ledgers[0]];
                for relay in hosts.into_iter().flat_map(|host| &host.relay) {
                    relay.silence();
                }
            }
            requests_fault::RequestsFault::Crossed => {
                let fault = if is_first {
                    lift_standin::AnswerFault::Crossed
                } else {
                    lift_standin::AnswerFault::None
                };
                self.models[0].backend.set_fault(fault);
                self.ledgers[0].backend.set_fault(fault);
            }
            requests_fault::RequestsFault::KillAgent if is_first => {
                self.models[0].kill();
                self.ledgers[0].kill();
            }
            requests_fault::RequestsFault::KillEntry if is_first => {
                self.entries[0].role.kill();
                self.entries[0].entry = None;
            }
            requests_fault::RequestsFault::Drain if is_first => {
                let entry = self.entries[0].entry.take();
                let model = self.models[0].serve.take();
                let ledger = self.ledgers[0].serve.take();
                tokio::spawn(async move {
                    if let (Some(entry), Some(model), Some(ledger)) = (entry, model, ledger) {
                        tokio::join!(
                            entry.stop(STOP_LIMIT),
                            model.stop(STOP_LIMIT),
                            ledger.stop(STOP_LIMIT)
                        );
                    }
                });
            }
            _ => {}
        }
    }

    /// How often the release with `key` ran at all ledgers.
    pub(crate) fn runs(&self, key: &str) -> u32 {
        let runs = self.ledgers.iter().map(|ledger| ledger.backend.runs(key));
        runs.sum()
    }

    /// Sum of the counters `GROUP.*` of all entries.
    pub(crate) fn counts(&self, group: &str) -> indexmap::IndexMap<String, u64> {
        let mut sums = indexmap::IndexMap::new();
        for entry in &self.entries {
            for (name, value) in entry.counters.snapshot() {
                if let Some(member) = name.strip_prefix(group) {
                    *sums.entry(String::from(member)).or_default() += value;
                }
            }
        }
        sums
    }

    /// Processor time of the entries in microseconds.
    pub(crate) fn entry_cpu_us(&self) -> u64 {
        self.entries.iter().map(|entry| entry.role.cpu_us()).sum()
    }
}

/// Only the first host of each kind gets a relay, and only for the fault that needs it: a
/// relay adds time to each request.
fn path_of(
    options: &requests_options::RequestsOptions,
    number: u32,
) -> requests_host::RequestsPath {
    if number == 0 && options.fault == requests_fault::RequestsFault::Silent {
        return requests_host::RequestsPath::Relayed;
    }
    requests_host::RequestsPath::Direct
}

async fn start_entry(
    host: lift_types::HostId,
    keys: sync::Arc<lift_wire::LinkKeys>,
    control: sync::Arc<requests_control::RequestsControl>,
    platform: sync::Arc<requests_balancer::RequestsPlatform>,
) -> Result<lift_entry::Entry> {
    let client = control.client()?;
    requests_control::wait_for_services(client.as_ref()).await?;
    lift_entry::Entry::builder()
        .location(requests_host::location(host))
        .keys(keys)
        .control(client)
        .platform(platform)
        .start()
        .await
        .change_context(bench_error::BenchError::Start)
}
