//! Limits on the size of what control keeps.

use crate::control_node;

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Headers that are kept with an outcome, in bytes.
const MAX_HEADER_BYTES: usize = 8 * 1024;

/// Most chunks of a manifest, which must fit into a frame. At 4 MiB each this is 400 GiB.
const MAX_CHUNKS: usize = 100_000;

/// Checks the key of a claim.
pub(crate) fn check_key(key: &lift_state::ClaimKey) -> Result<(), control_node::Failure> {
    let fields = [
        ("key.workspace", &key.workspace),
        ("key.service", &key.service),
        ("key.key", &key.key),
    ];
    for (path, text) in fields {
        if text.is_empty() || text.len() > MAX_KEY_BYTES {
            let problem = format!("has {} bytes; allowed: 1 to {MAX_KEY_BYTES}", text.len());
            return Err(error_stack::Report::new(invalid(path, &problem)));
        }
    }
    Ok(())
}

/// Checks the headers of an outcome.
pub(crate) fn check_headers(headers: &[(String, String)]) -> Result<(), control_node::Failure> {
    let bytes: usize = headers.iter().map(|(n, v)| n.len() + v.len()).sum();
    if bytes <= MAX_HEADER_BYTES {
        return Ok(());
    }
    let problem = format!("have {bytes} bytes; allowed: at most {MAX_HEADER_BYTES}");
    Err(error_stack::Report::new(invalid(
        "outcome.headers",
        &problem,
    )))
}

/// Checks the size of a manifest.
pub(crate) fn check_manifest(manifest: &lift_types::Manifest) -> Result<(), control_node::Failure> {
    let chunks = manifest.chunks.len();
    if chunks <= MAX_CHUNKS {
        return Ok(());
    }
    let problem = format!("{chunks} chunks; allowed: 1 to {MAX_CHUNKS}, use longer chunks");
    Err(error_stack::Report::new(invalid(
        "manifest.chunks",
        &problem,
    )))
}

/// Names a field and its problem.
pub(crate) fn invalid(path: &str, problem: &str) -> lift_rpc::ControlError {
    lift_rpc::ControlError::Invalid {
        path: String::from(path),
        problem: String::from(problem),
    }
}
