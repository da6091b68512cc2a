//! A caller's request.

use std::{sync, time};

use crate::{request_suspect, shared};

/// Maximum length of a header value that the entry reads, in bytes. Control stores some of these
/// values: idempotency keys and workspace names.
const MAX_VALUE_BYTES: usize = 256;

/// Length of the start of the body that is used as the prefix of a request to a model service if
/// the caller names none, in bytes.
const PREFIX_BYTES: usize = 256;

/// Prefix of this project's own headers. Those sent by callers are not forwarded to backend
/// servers.
const INTERNAL_HEADER_PREFIX: &str = "x-lift-";

/// Request of a caller, parsed from HTTP.
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
    pub(crate) suspect: sync::Arc<request_suspect::RequestSuspect>,
}

type Reason = lift_types::RefusalReason;

impl CallerRequest {
    /// Parses the head of a request and applies the policy in force. The body stays empty.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the request is refused: the head is malformed, the service is
    /// unknown, or a non-idempotent request has no key.
    pub(crate) fn from_head(
        shared: &shared::Shared,
        id: lift_types::RequestId,
        parts: &http::request::Parts,
    ) -> Result<Self, Reason> {
        let (service, method) = parse_target(parts.uri.path()).ok_or(Reason::Malformed)?;
        let policy = current_policy(shared);
        let kind = policy.kind_of(service).ok_or(Reason::UnknownService)?;
        let workspace = header_text(parts, crate::WORKSPACE_HEADER)?.ok_or(Reason::Malformed)?;
        let idempotency = policy.idempotency_of(service, method);
        let key = header_text(parts, crate::KEY_HEADER)?;
        let is_claimed = idempotency == lift_types::Idempotency::NonIdempotent;
        if is_claimed && key.is_none() {
            return Err(Reason::KeyMissing);
        }
        let prefix = header_text(parts, crate::PREFIX_HEADER)?;
        let query = parts.uri.query().map(|query| format!("?{query}"));
        Ok(Self {
            id,
            kind,
            idempotency,
            limits: policy.limits_of(&workspace).clone(),
            priority: parse_priority(&policy, parts, &workspace, service)?,
            workspace,
            service: String::from(service),
            method: String::from(method),
            key: key.filter(|_| is_claimed),
            version: header_text(parts, lift_border::VERSION_HEADER)?,
            deadline: parse_deadline(shared, parts)?,
            http_method: parts.method.to_string(),
            path: format!("/{method}{}", query.unwrap_or_default()),
            headers: forwarded_headers(&parts.headers),
            body: bytes::Bytes::new(),
            prefix: prefix.map(|prefix| hash(prefix.as_bytes())),
            suspect: sync::Arc::default(),
        })
    }

    /// Reads the body within the limits on its size and time.
    ///
    /// # Errors
    ///
    /// Returns `TooLarge` for a body over the limit, `Overloaded` if there is no memory for it,
    /// and `Malformed` for one that is not received
    /// completely within the read timeout.
    pub(crate) async fn read_body(
        &mut self,
        shared: &shared::Shared,
        headers: &http::HeaderMap,
        body: axum::body::Body,
    ) -> Result<(), Reason> {
        let reader = lift_listen::BodyReader {
            max_bytes: shared.limits.max_body_bytes,
            stall_timeout: shared.limits.read_timeout,
        };
        let held = shared.budget.hold(lift_listen::HeldKind::Body);
        let reading = reader.read(headers, body, held);
        self.body = match tokio::time::timeout(shared.limits.read_timeout, reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(lift_listen::BodyError::TooLong)) => return Err(Reason::TooLarge),
            Ok(Err(lift_listen::BodyError::Overloaded)) => return Err(Reason::Overloaded),
            _ => return Err(Reason::Malformed),
        };
        let is_model = self.kind == lift_types::ServiceKind::Model;
        if is_model && self.prefix.is_none() {
            let length = self.body.len().min(PREFIX_BYTES);
            self.prefix = Some(hash(&self.body[..length]));
        }
        Ok(())
    }

    /// Time until the deadline.
    pub(crate) fn time_left(&self) -> time::Duration {
        self.deadline
            .saturating_duration_since(time::Instant::now())
    }

    /// Whether the request is non-idempotent, so that it must be claimed before it is sent.
    pub(crate) fn is_claimed(&self) -> bool {
        self.idempotency == lift_types::Idempotency::NonIdempotent
    }

    /// Returns the criteria for selecting a host. They exclude no host yet.
    pub(crate) fn host_criteria(&self, shared: &shared::Shared) -> lift_route::HostCriteria {
        lift_route::HostCriteria {
            kind: self.kind,
            version: self.version.clone(),
            tried: Vec::new(),
            failure_domain: Some(shared.location.failure_domain.clone()),
            affinity_host: self.prefix.and_then(|prefix| shared.prefix_host(prefix)),
        }
    }

    /// Creates the message that calls an agent, with a new id. `resume_from` is the number of body
    /// bytes that the caller already has.
    pub(crate) fn to_call(
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

    /// Returns the key of the claim of a non-idempotent request.
    pub(crate) fn claim_key(&self) -> lift_state::ClaimKey {
        lift_state::ClaimKey {
            workspace: self.workspace.clone(),
            service: self.service.clone(),
            key: self.key.clone().unwrap_or_default(),
        }
    }

    /// Returns a digest of workspace, service, HTTP method, path, query and body, by which another
    /// submission of the same request is known. The body must have been read.
    pub(crate) fn digest(&self) -> &lift_fleet::RequestDigest {
        self.suspect.digest(|| {
            let fields = [
                self.workspace.as_bytes(),
                self.service.as_bytes(),
                self.http_method.as_bytes(),
                self.path.as_bytes(),
                &self.body,
            ];
            lift_fleet::RequestDigest::of(&fields.map(Some))
        })
    }

    /// Returns a hash of HTTP method, path, query and body. Control compares it to detect that a
    /// key is reused for another request.
    pub(crate) fn request_hash(&self) -> lift_types::ChunkHash {
        let mut text = format!("{} {}\n", self.http_method, self.path).into_bytes();
        text.extend_from_slice(&self.body);
        lift_types::ChunkHash::of(&text)
    }
}

fn current_policy(shared: &shared::Shared) -> sync::Arc<lift_types::Policy> {
    sync::Arc::clone(&shared.policy.borrow().policy)
}

/// Splits the path `/v1/{service}/{method}` into service and method.
fn parse_target(path: &str) -> Option<(&str, &str)> {
    let (service, method) = path.strip_prefix("/v1/")?.split_once('/')?;
    (!service.is_empty() && !method.is_empty()).then_some((service, method))
}

/// Returns the value of a header as text, or `None` if the header is absent. An empty, too long or
/// non-text value is malformed.
fn header_text(parts: &http::request::Parts, name: &str) -> Result<Option<String>, Reason> {
    let Some(value) = parts.headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Reason::Malformed)?;
    if text.is_empty() || text.len() > MAX_VALUE_BYTES {
        return Err(Reason::Malformed);
    }
    Ok(Some(String::from(text)))
}

/// Returns the priority of a request. A caller may lower the priority that the policy allows, but
/// not raise it.
fn parse_priority(
    policy: &lift_types::Policy,
    parts: &http::request::Parts,
    workspace: &str,
    service: &str,
) -> Result<lift_types::Priority, Reason> {
    let allowed = policy.priority_of(workspace, service);
    let Some(requested) = header_text(parts, lift_border::PRIORITY_HEADER)? else {
        return Ok(allowed);
    };
    let requested: lift_types::Priority = requested.parse().map_err(|_| Reason::Malformed)?;
    Ok(requested.min(allowed))
}

/// Returns the deadline given by the caller or the default one, limited to the maximum.
fn parse_deadline(
    shared: &shared::Shared,
    parts: &http::request::Parts,
) -> Result<time::Instant, Reason> {
    let limit = match header_text(parts, crate::DEADLINE_HEADER)? {
        Some(text) => time::Duration::from_millis(text.parse().map_err(|_| Reason::Malformed)?),
        None => shared.limits.default_deadline,
    };
    Ok(time::Instant::now() + limit.min(shared.limits.max_deadline))
}

/// Returns the headers that are sent on to the backend server. This project's own headers
/// and values that are not text are left out.
fn forwarded_headers(headers: &http::HeaderMap) -> Vec<(String, String)> {
    let forwarded = headers.iter().filter_map(|(name, value)| {
        if name.as_str().starts_with(INTERNAL_HEADER_PREFIX) {
            return None;
        }
        Some((name.to_string(), String::from(value.to_str().ok()?)))
    });
    forwarded.collect()
}

fn hash(prefix: &[u8]) -> u64 {
    let lift_types::ChunkHash(hash) = lift_types::ChunkHash::of(prefix);
    hash.iter()
        .take(8)
        .fold(0, |sum, byte| (sum << 8) | u64::from(*byte))
}
