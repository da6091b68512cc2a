//! Carries out the steps of the activation.

use std::{path, sync, time};

use crate::{agent, lease_state, swarm_error};

use lift_transfer::{ActivationAction as Action, ActivationEvent as Event};

/// Time for one question to control or to the engine.
const ASK_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Pause before a refused or failed question to control is repeated.
const RETRY: time::Duration = time::Duration::from_millis(250);

impl agent::Agent {
    /// Gives an event to the activation and carries out what it asks for.
    pub(crate) fn activation_event(self: &sync::Arc<Self>, event: Event) {
        let actions = {
            let mut activation = self.activation.lock();
            let actions = activation.step(time::Instant::now(), event);
            let serving = activation.serving().cloned();
            // Under the lock, so that the gate sees changes in their order.
            self.gate.send_if_modified(|gate| {
                let is_new = *gate != serving;
                *gate = serving;
                is_new
            });
            actions
        };
        for action in actions {
            self.perform_activation(action);
        }
    }

    fn perform_activation(self: &sync::Arc<Self>, action: Action) {
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
                self.spawn_until_stop(async move { own.ask_grant(req).await });
            }
            // The gate task does both from the state of the activation.
            Action::Advertise(_) | Action::Withdraw => {}
            Action::CloseAndDrain => {
                let own = self.clone();
                self.spawn_until_stop(async move { own.drain().await });
            }
            Action::Load {
                version, fencing, ..
            } => {
                // An order is not given up when the agent stops, so that its result is
                // known before the process ends.
                let own = self.clone();
                self.tasks
                    .spawn(async move { own.load(version, fencing).await });
            }
        }
    }

    async fn ask_grant(self: sync::Arc<Self>, req: lift_state::ActivationRequest) {
        let sent_at = time::Instant::now();
        let reply = tokio::time::timeout(ASK_LIMIT, self.borders.control.activate(req)).await;
        let event = match reply {
            Ok(Ok(lift_state::ActivationReply::Granted { fencing, valid_for })) => Event::Granted {
                fencing,
                until: sent_at + valid_for,
            },
            Ok(Ok(lift_state::ActivationReply::Wait { retry_after })) => {
                self.counters.increment("activation_wait");
                Event::NotGranted { retry_after }
            }
            _ => Event::NotGranted { retry_after: RETRY },
        };
        self.activation_event(event);
    }

    async fn drain(self: sync::Arc<Self>) {
        let limit = self.limits.drain_limit;
        self.set_serving(None);
        let in_progress = self.borders.serving.close_and_drain(limit).await;
        self.activation_event(Event::Drained { in_progress });
    }

    async fn load(
        self: sync::Arc<Self>,
        version: lift_types::VersionId,
        fencing: lift_types::FencingToken,
    ) {
        let event = match self.order(version, fencing).await {
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
        self.activation_event(event);
        self.trim().await;
    }

    async fn order(
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
        let load = self.borders.engine.load(order);
        match tokio::time::timeout(self.limits.order_limit, load).await {
            Ok(Ok(status)) => Some(status),
            Ok(Err(error)) => {
                slog::warn!(self.log, "engine refused an order"; "error" => %error);
                None
            }
            Err(_) => None,
        }
    }

    /// Assembles and verifies the whole file of a version.
    pub(crate) async fn assemble(
        &self,
        manifest: &sync::Arc<lift_types::Manifest>,
    ) -> Option<Result<path::PathBuf, error_stack::Report<swarm_error::SwarmError>>> {
        let (versions, manifest) = (self.versions.clone(), manifest.clone());
        Self::block(move || versions.assemble(&manifest)).await
    }

    /// Removes old versions beyond the limit.
    async fn trim(self: &sync::Arc<Self>) {
        let wanted = self.status.borrow().wanted.clone();
        let serving = self.activation.lock().serving().map(|s| s.version.clone());
        let used: Vec<_> = wanted.into_iter().chain(serving).collect();
        let limit = self.limits.kept_versions + 1;
        let versions = self.versions.clone();
        let trimmed = Self::block(move || versions.trim(limit, &used)).await;
        for version in trimmed.and_then(Result::ok).unwrap_or_default() {
            slog::info!(self.log, "version removed"; "version" => &version);
            self.activation_event(Event::Removed { version });
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

/// Opens and closes the request side as the activation decides.
pub(crate) async fn gate(agent: sync::Arc<agent::Agent>) {
    let mut gate = agent.gate.subscribe();
    while gate.changed().await.is_ok() {
        let serving = gate.borrow_and_update().clone();
        match serving {
            Some(serving) => {
                slog::info!(agent.log, "version served"; "version" => &serving.version,
                    "fencing" => serving.fencing);
                agent.borders.serving.open(serving.clone());
                agent.set_serving(Some(serving));
            }
            None => {
                agent.set_serving(None);
                let limit = agent.limits.drain_limit;
                agent.borders.serving.close_and_drain(limit).await;
            }
        }
    }
}

/// Asks the engine what it serves, at the start and then at intervals.
pub(crate) async fn poll_engine(agent: sync::Arc<agent::Agent>) {
    loop {
        let status = tokio::time::timeout(ASK_LIMIT, agent.borders.engine.status()).await;
        let event = match status {
            Ok(Ok(status)) => {
                if let Some(version) = &status.version {
                    agent.restore(version).await;
                }
                Event::Reported {
                    version: status.version,
                    hash: status.whole,
                    fencing: status.fencing,
                }
            }
            _ => Event::EngineUnreachable,
        };
        agent.activation_event(event);
        tokio::time::sleep(agent.limits.engine_poll).await;
    }
}

/// Renews the lease until a later incarnation takes over.
pub(crate) async fn renew(agent: sync::Arc<agent::Agent>) {
    let mut status = agent.status.subscribe();
    loop {
        let serving = agent.status.borrow().serving.clone();
        let renewal = lift_state::LeaseRenewal {
            location: agent.location.clone(),
            incarnation: agent.incarnation,
            serving: serving.clone(),
        };
        let sent_at = time::Instant::now();
        let reply = tokio::time::timeout(ASK_LIMIT, agent.borders.control.renew(renewal)).await;
        let pause = match reply {
            Ok(Ok(lift_state::LeaseReply::Renewed { valid_for })) => {
                let until = sent_at + valid_for;
                agent.activation_event(Event::LeaseRenewed { until });
                agent.set_lease(lease_state::LeaseState::Held);
                valid_for / 3
            }
            Ok(Ok(lift_state::LeaseReply::Wait { retry_after })) => retry_after,
            Ok(Ok(lift_state::LeaseReply::Superseded { by })) => {
                slog::warn!(agent.log, "incarnation replaced"; "by" => by);
                agent.activation_event(Event::Replaced);
                agent.set_lease(lease_state::LeaseState::Replaced);
                return;
            }
            _ => RETRY,
        };
        // Control counts serving hosts from renewals, so a change is reported at once.
        let changed = status.wait_for(|status| status.serving != serving);
        let _ = tokio::time::timeout(pause, changed).await;
    }
}

impl agent::Agent {
    fn set_lease(&self, lease: lease_state::LeaseState) {
        self.status
            .send_if_modified(|status| std::mem::replace(&mut status.lease, lease) != lease);
    }

    /// Finds out whether the version that the engine reports is held whole.
    async fn restore(self: &sync::Arc<Self>, version: &lift_types::VersionId) {
        if self.activation.lock().has_complete(version) {
            return;
        }
        let Some(manifest) = self.ask_manifest(version).await else {
            return;
        };
        if let Some(Ok(_)) = self.assemble(&manifest).await {
            let (version, hash) = (version.clone(), manifest.whole);
            self.activation_event(Event::Complete { version, hash });
        }
    }
}
