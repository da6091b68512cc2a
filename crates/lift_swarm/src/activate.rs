//! Execution of the activation: grants, leases and load orders.

use std::{path, sync, time};

use crate::{agent, lease_state, swarm_error};

use lift_transfer::{ActivationAction as Action, ActivationEvent as Event};

/// Timeout of one request to control, and of one request for the state of the engine.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Pause before a request to control is retried, unless the reply sets another one.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(250);

impl agent::Agent {
    /// Passes an event to the activation and carries out the actions that it returns.
    pub(crate) fn handle_activation_event(self: &sync::Arc<Self>, event: Event) {
        let actions = {
            let mut activation = self.activation.lock();
            let actions = activation.step(time::Instant::now(), event);
            let serving = activation.serving().cloned();
            // Updated while the lock is held, so that the gate gets the changes in order.
            self.gate.send_if_modified(|gate| {
                let is_new = *gate != serving;
                *gate = serving;
                is_new
            });
            actions
        };
        for action in actions {
            self.perform_activation_action(action);
        }
    }

    fn perform_activation_action(self: &sync::Arc<Self>, action: Action) {
        match action {
            Action::RequestGrant {
                version,
                revision,
                serving,
            } => {
                let req = lift_state::ActivationRequest {
                    location: self.location.clone(),
                    incarnation: self.incarnation,
                    serving,
                    version,
                    revision,
                };
                let own = self.clone();
                self.spawn_until_stop(async move { own.request_grant(req).await });
            }
            // Carried out by `run_gate`, which follows the advertised version.
            Action::Advertise(_) | Action::Withdraw => {}
            Action::CloseAndDrain => {
                let own = self.clone();
                self.spawn_until_stop(async move { own.drain().await });
            }
            Action::Load {
                version, fencing, ..
            } => {
                // A load order is not cancelled when the agent stops, so that its result is
                // known before the process ends.
                let own = self.clone();
                self.tasks
                    .spawn(async move { own.load(version, fencing).await });
            }
        }
    }

    async fn request_grant(self: sync::Arc<Self>, req: lift_state::ActivationRequest) {
        let sent_at = time::Instant::now();
        let reply = tokio::time::timeout(REQUEST_TIMEOUT, self.ports.control.activate(req)).await;
        let event = match reply {
            Ok(Ok(lift_state::ActivationReply::Granted { fencing, valid_for })) => Event::Granted {
                fencing,
                until: sent_at + valid_for,
            },
            Ok(Ok(lift_state::ActivationReply::Wait { retry_after })) => {
                self.counters.increment("activation_wait");
                Event::NotGranted { retry_after }
            }
            _ => Event::NotGranted {
                retry_after: RETRY_DELAY,
            },
        };
        self.handle_activation_event(event);
    }

    async fn drain(self: sync::Arc<Self>) {
        let limit = self.limits.drain_limit;
        self.set_serving(None);
        let in_progress = self.ports.serving.close_and_drain(limit).await;
        self.handle_activation_event(Event::Drained { in_progress });
    }

    async fn load(
        self: sync::Arc<Self>,
        version: lift_types::VersionId,
        fencing: lift_types::FencingToken,
    ) {
        let event = match self.order_load(version, fencing).await {
            Some(status) => Event::Loaded {
                version: status.version,
                hash: status.whole,
                fencing: status.fencing,
            },
            None => {
                self.counters.increment("engine_load_failed");
                Event::LoadFailed
            }
        };
        self.handle_activation_event(event);
        self.trim_versions().await;
    }

    async fn order_load(
        &self,
        version: lift_types::VersionId,
        fencing: lift_types::FencingToken,
    ) -> Option<lift_border::EngineStatus> {
        let manifest = self.versions.manifest(&version)?;
        let file = self.assemble(&manifest).await?.ok()?;
        let order = lift_border::LoadOrder {
            version,
            file,
            whole: manifest.whole,
            fencing,
        };
        let load = self.ports.engine.load(order);
        match tokio::time::timeout(self.limits.order_limit, load).await {
            Ok(Ok(status)) => Some(status),
            Ok(Err(error)) => {
                slog::warn!(self.log, "engine refused an order"; "error" => %error);
                None
            }
            Err(_) => None,
        }
    }

    /// Assembles and verifies the weights file of a version. Returns `None` if the blocking task
    /// panicked.
    pub(crate) async fn assemble(
        &self,
        manifest: &sync::Arc<lift_types::Manifest>,
    ) -> Option<Result<path::PathBuf, error_stack::Report<swarm_error::SwarmError>>> {
        let (versions, manifest) = (self.versions.clone(), manifest.clone());
        Self::run_blocking(move || versions.assemble(&manifest)).await
    }

    /// Removes the least recently used versions above the limit, except those in use.
    async fn trim_versions(self: &sync::Arc<Self>) {
        let target_version = self.status.borrow().target_version.clone();
        let serving = self.activation.lock().serving().map(|s| s.version.clone());
        let used: Vec<_> = target_version.into_iter().chain(serving).collect();
        let limit = self.limits.kept_versions + 1;
        let versions = self.versions.clone();
        let trimmed = Self::run_blocking(move || versions.trim(limit, &used)).await;
        for version in trimmed.and_then(Result::ok).unwrap_or_default() {
            slog::info!(self.log, "version removed"; "version" => &version);
            self.handle_activation_event(Event::Removed { version });
        }
    }

    pub(crate) fn set_serving(&self, serving: Option<lift_types::ServingVersion>) {
        self.status.send_if_modified(|status| {
            let is_new = status.serving != serving;
            status.serving = serving;
            is_new
        });
    }
}

/// Opens and closes the request side when the advertised version changes.
pub(crate) async fn run_gate(agent: sync::Arc<agent::Agent>) {
    let mut gate = agent.gate.subscribe();
    while gate.changed().await.is_ok() {
        let serving = gate.borrow_and_update().clone();
        match serving {
            Some(serving) => {
                slog::info!(agent.log, "version served"; "version" => &serving.version,
                    "fencing" => serving.fencing);
                agent.ports.serving.open(serving.clone());
                agent.set_serving(Some(serving));
            }
            None => {
                agent.set_serving(None);
                let limit = agent.limits.drain_limit;
                agent.ports.serving.close_and_drain(limit).await;
            }
        }
    }
}

/// Requests the state of the engine, at the start and then periodically.
pub(crate) async fn poll_engine(agent: sync::Arc<agent::Agent>) {
    loop {
        let status = tokio::time::timeout(REQUEST_TIMEOUT, agent.ports.engine.status()).await;
        let event = match status {
            Ok(Ok(status)) => {
                if let Some(version) = &status.version {
                    agent.check_reported_version(version).await;
                }
                Event::Reported {
                    version: status.version,
                    hash: status.whole,
                    fencing: status.fencing,
                }
            }
            _ => Event::EngineUnreachable,
        };
        agent.handle_activation_event(event);
        tokio::time::sleep(agent.limits.engine_poll).await;
    }
}

/// Renews the lease until a later incarnation of the host is registered.
pub(crate) async fn renew_lease(agent: sync::Arc<agent::Agent>) {
    let mut status = agent.status.subscribe();
    loop {
        let serving = agent.status.borrow().serving.clone();
        let renewal = lift_state::LeaseRenewal {
            location: agent.location.clone(),
            incarnation: agent.incarnation,
            serving: serving.clone(),
        };
        let sent_at = time::Instant::now();
        let reply = tokio::time::timeout(REQUEST_TIMEOUT, agent.ports.control.renew(renewal)).await;
        let pause = match reply {
            Ok(Ok(lift_state::LeaseReply::Renewed { valid_for })) => {
                let until = sent_at + valid_for;
                agent.handle_activation_event(Event::LeaseRenewed { until });
                agent.set_lease(lease_state::LeaseState::Held);
                valid_for / 3
            }
            Ok(Ok(lift_state::LeaseReply::Wait { retry_after })) => retry_after,
            Ok(Ok(lift_state::LeaseReply::Superseded { by })) => {
                slog::warn!(agent.log, "incarnation replaced"; "by" => by);
                agent.handle_activation_event(Event::Replaced);
                agent.set_lease(lease_state::LeaseState::Replaced);
                return;
            }
            _ => RETRY_DELAY,
        };
        // Control counts the serving hosts by their renewals, so a change is reported at once.
        let changed = status.wait_for(|status| status.serving != serving);
        let _ = tokio::time::timeout(pause, changed).await;
    }
}

impl agent::Agent {
    fn set_lease(&self, lease: lease_state::LeaseState) {
        self.status
            .send_if_modified(|status| std::mem::replace(&mut status.lease, lease) != lease);
    }

    /// Checks whether the version that the engine reports is complete on this host, and reports
    /// it to the activation if so.
    async fn check_reported_version(self: &sync::Arc<Self>, version: &lift_types::VersionId) {
        if self.activation.lock().has_complete(version) {
            return;
        }
        let Some(manifest) = self.find_manifest(version).await else {
            return;
        };
        if let Some(Ok(_)) = self.assemble(&manifest).await {
            let (version, hash) = (version.clone(), manifest.whole);
            self.handle_activation_event(Event::Complete { version, hash });
        }
    }
}
