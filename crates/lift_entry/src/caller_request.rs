//! A caller's request.

use std::time;

use http_body_util::BodyExt as _;

use crate::shared;

/// Longest idempotency key and workspace name, in bytes. Control keeps them.
const MAX_NAME_BYTES: usize = 256;

/// Bytes of the body that count as its prefix where the caller names none.
const PREFIX_BYTES: usize = 256;

/// Prefix of headers that are between callers, entries and backend servers only.
const OWN_PREFIX: &str = "x-lift-";

/// A request that was read whole.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) id: lift_types::RequestId,
    pub(crate) workspace: lift_types::WorkspaceId,
    pub(crate) service: lift_types::ServiceId,
    pub(crate) method: lift_types::MethodId,
    pub(crate) kind: lift_types::ServiceKind,
    pub(crate) idempotency: lift_types::Idempotency,
    pub(crate) limits: lift_types::WorkspaceLimits,
    pub(crate) key: Option<String>,
    pub(crate) version: Option<lift_types::VersionId>,
    pub(crate) priority: lift_types::Priority,
    pub(crate) deadline: time::Instant,
    pub(crate) http_method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: bytes::Bytes,
    pub(crate) prefix: Option<u64>,
}

type Refused = lift_types::RefusalReason;

impl CallerRequest {
    /// Reads what the head says. The body is still empty.
    pub(crate) fn from_head(
        shared: &shared::Shared,
        id: lift_types::RequestId,
        parts: &http::request::Parts,
    ) -> Result<Self, Refused> {
        let (service, method) = target(parts.uri.path()).ok_or(Refused::Malformed)?;
        let policy = sync_policy(shared);
        let kind = policy.kind_of(service).ok_or(Refused::UnknownService)?;
        let workspace = text(parts, crate::WORKSPACE_HEADER)?.ok_or(Refused::Malformed)?;
        let idempotency = policy.idempotency_of(service, method);
        let key = text(parts, crate::KEY_HEADER)?;
        let is_claimed = idempotency == lift_types::Idempotency::NonIdempotent;
        if is_claimed && key.is_none() {
            return Err(Refused::KeyMissing);
        }
        let prefix = text(parts, crate::PREFIX_HEADER)?;
        let query = parts.uri.query().map(|query| format!("?{query}"));
        Ok(Self {
            id,
            kind,
            idempotency,
            limits: policy.limits_of(&workspace).clone(),
            priority: priority_of(&policy, parts, &workspace, service)?,
            workspace,
            service: String::from(service),
            method: String::from(method),
            key: key.filter(|_| is_claimed),
            version: text(parts, lift_border::VERSION_HEADER)?,
            deadline: deadline_of(shared, parts)?,
            http_method: parts.method.to_string(),
            path: format!("/{method}{}", query.unwrap_or_default()),
            headers: passed_headers(&parts.headers),
            body: bytes::Bytes::new(),
            prefix: prefix.map(|prefix| hash(prefix.as_bytes())),
        })
    }

    /// Reads the body within its limits.
    pub(crate) async fn read_body(
        &mut self,
        shared: &shared::Shared,
        body: axum::body::Body,
    ) -> Result<(), Refused> {
        let limited = http_body_util::Limited::new(body, shared.limits.max_body_bytes);
        let read = tokio::time::timeout(shared.limits.read_timeout, limited.collect()).await;
        let collected = match read {
            Ok(Ok(collected)) => collected,
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
                return Err(Refused::TooLarge);
            }
            _ => return Err(Refused::Malformed),
        };
        self.body = collected.to_bytes();
        let is_model = self.kind == lift_types::ServiceKind::Model;
        if is_model && self.prefix.is_none() {
            let length = self.body.len().min(PREFIX_BYTES);
            self.prefix = Some(hash(&self.body[..length]));
        }
        Ok(())
    }

    pub(crate) fn time_left(&self) -> time::Duration {
        self.deadline
            .saturating_duration_since(time::Instant::now())
    }

    /// Whether nothing may run twice.
    pub(crate) fn is_claimed(&self) -> bool {
        self.idempotency == lift_types::Idempotency::NonIdempotent
    }

    /// What is asked of a host.
    pub(crate) fn choice(&self, shared: &shared::Shared) -> lift_route::HostCriteria {
        lift_route::HostCriteria {
            kind: self.kind,
            version: self.version.clone(),
            tried: Vec::new(),
            failure_domain: Some(shared.location.failure_domain.clone()),
            affinity_host: self.prefix.and_then(|prefix| shared.prefix_host(prefix)),
        }
    }

    /// The call that an agent gets.
    pub(crate) fn call(
        &self,
        shared: &shared::Shared,
        claim: Option<lift_wire::CallClaim>,
        version: Option<lift_types::VersionId>,
        resume_from: u64,
    ) -> lift_wire::Call {
        lift_wire::Call {
            id: shared.next_id(),
            workspace: self.workspace.clone(),
            service: self.service.clone(),
            method: self.method.clone(),
            http_method: self.http_method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            claim,
            version,
            priority: self.priority,
            time_left: self.time_left(),
            resume_from,
        }
    }

    /// Name of the claim of a non-idempotent request.
    pub(crate) fn claim_key(&self) -> lift_state::ClaimKey {
        lift_state::ClaimKey {
            workspace: self.workspace.clone(),
            service: self.service.clone(),
            key: self.key.clone().unwrap_or_default(),
        }
    }

    /// Hash by which a reused key is found.
    pub(crate) fn body_hash(&self) -> lift_types::ChunkHash {
        let mut text = format!("{} {}\n", self.http_method, self.path).into_bytes();
        text.extend_from_slice(&self.body);
        lift_types::ChunkHash::of(&text)
    }
}

fn sync_policy(shared: &shared::Shared) -> std::sync::Arc<lift_types::Policy> {
    std::sync::Arc::clone(&shared.policy.borrow().policy)
}

/// Splits `/v1/{service}/{method}`.
fn target(path: &str) -> Option<(&str, &str)> {
    let (service, method) = path.strip_prefix("/v1/")?.split_once('/')?;
    (!service.is_empty() && !method.is_empty()).then_some((service, method))
}

fn text(parts: &http::request::Parts, name: &str) -> Result<Option<String>, Refused> {
    let Some(value) = parts.headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Refused::Malformed)?;
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(Refused::Malformed);
    }
    Ok(Some(String::from(text)))
}

/// A caller may lower the priority that the policy gives it, not raise it.
fn priority_of(
    policy: &lift_types::Policy,
    parts: &http::request::Parts,
    workspace: &str,
    service: &str,
) -> Result<lift_types::Priority, Refused> {
    let allowed = policy.priority_of(workspace, service);
    let Some(asked) = text(parts, lift_border::PRIORITY_HEADER)? else {
        return Ok(allowed);
    };
    let asked: lift_types::Priority = asked.parse().map_err(|_| Refused::Malformed)?;
    Ok(asked.min(allowed))
}

fn deadline_of(
    shared: &shared::Shared,
    parts: &http::request::Parts,
) -> Result<time::Instant, Refused> {
    let limit = match text(parts, crate::DEADLINE_HEADER)? {
        Some(text) => time::Duration::from_millis(text.parse().map_err(|_| Refused::Malformed)?),
        None => shared.limits.default_deadline,
    };
    Ok(time::Instant::now() + limit.min(shared.limits.max_deadline))
}

fn passed_headers(headers: &http::HeaderMap) -> Vec<(String, String)> {
    let passed = headers.iter().filter_map(|(name, value)| {
        if name.as_str().starts_with(OWN_PREFIX) {
            return None;
        }
        Some((name.to_string(), String::from(value.to_str().ok()?)))
    });
    passed.collect()
}

fn hash(prefix: &[u8]) -> u64 {
    let lift_types::ChunkHash(hash) = lift_types::ChunkHash::of(prefix);
    hash.iter()
        .take(8)
        .fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}
